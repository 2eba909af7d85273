package bulk

import (
	"context"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// readBytes bounds the results of one read.
	readBytes = 900 << 10
	// capPause is when to come back with a job that didn't fit: some items end within it.
	capPause = 700 * time.Millisecond
	// unavailablePause is when to come back to an owner that isn't ready.
	unavailablePause = 300 * time.Millisecond
)

// Answer answers a call on a job.
func (o *Owner) Answer(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	ctx, cancel := context.WithTimeout(ctx, max(q.Call.Remaining, 50*time.Millisecond))
	defer cancel()
	switch q.Call.Op {
	case bulk.Submit:
		return o.submit(ctx, q)
	case bulk.ReadResults:
		return o.readResults(ctx, q)
	case bulk.ReadBody:
		return o.body(ctx, q)
	case bulk.EndJob:
		return o.end(ctx, q)
	case bulk.HandOverProgress:
		if reply, ok := ask(ctx, o, func() bulk.Reply { return o.carry(q) }); ok {
			return reply
		}
	}
	return unavailable
}

var unavailable = bulk.Reply{Code: bulk.Unavailable, RetryAfter: unavailablePause}

// ask runs a function in the goroutine that owns the state and waits for its answer.
func ask[T any](ctx context.Context, o *Owner, f func() T) (answer T, ok bool) {
	c := make(chan T, 1)
	o.post(func() { c <- f() })
	select {
	case answer = <-c:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// lookup is what the ledger says of a job.
type lookup struct {
	record *bulk.Record
	// sure tells that a job that isn't there doesn't exist.
	sure bool
}

func (o *Owner) find(q hostlink.JobsCall) lookup {
	h, ok := o.shards[q.Shard]
	if !ok || !h.ready {
		return lookup{}
	}
	r, _ := o.ledger.Job(q.Call.Job, q.Call.Workspace)
	_, pending := o.submits[q.Call.Job]
	return lookup{record: r, sure: o.lease.Owns(q.Shard) && !pending}
}

// holds tells whether this host still is the shard's only owner: no successor can have read the
// store before now.
func (o *Owner) holds(s bulk.Shard) bool {
	h, ok := o.shards[s]
	return ok && h.ready && o.lease.Owns(s)
}

// missing answers for a job that isn't there.
func (l lookup) missing() bulk.Reply {
	if l.sure {
		return bulk.Reply{Code: bulk.NotFound}
	}
	return unavailable
}

// readView is a consistent view of a job's results.
type readView struct {
	lookup
	reply   bulk.Reply
	changed <-chan struct{}
	open    bool
	// held tells that no successor can have made more results visible.
	held bool
}

// answer returns what may be said. That there is nothing at a position yet is for the only owner to
// say: a former one doesn't know what its successor has shown.
func (v readView) answer() bulk.Reply {
	if len(v.reply.Results) == 0 && !v.held {
		return unavailable
	}
	return v.reply
}

func (o *Owner) readResults(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	wait := time.NewTimer(q.Call.Wait)
	defer wait.Stop()
	over := q.Call.Wait <= 0
	for {
		v, ok := ask(ctx, o, func() (v readView) {
			v.lookup = o.find(q)
			if r := v.record; r != nil {
				v.reply = bulk.Reply{Code: bulk.Done, Total: len(r.Job.Items)}
				v.reply.Results, v.reply.Next = r.Page(q.Call.After, readBytes)
				v.changed, v.open, v.held = r.Changed(), r.Open(), o.holds(q.Shard)
			}
			return v
		})
		if !ok {
			return unavailable
		}
		if v.record == nil {
			return v.missing()
		}
		if len(v.reply.Results) > 0 || !v.open || over {
			return v.answer()
		}
		select {
		case <-v.changed:
		case <-wait.C:
			over = true // once more: the lease may have gone meanwhile
		case <-ctx.Done():
			return unavailable
		}
	}
}

func (o *Owner) body(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	reply, ok := ask(ctx, o, func() bulk.Reply {
		l := o.find(q)
		if l.record == nil {
			return l.missing()
		}
		i, ok := l.record.Item(q.Call.Item)
		if !ok || l.record.Ended || l.record.IsVisible(q.Call.Item) {
			return bulk.Reply{Code: bulk.NotFound}
		}
		return bulk.Reply{Code: bulk.Done, Body: i.Body}
	})
	if !ok {
		return unavailable
	}
	return reply
}

// end records the end of a job, then stops it.
func (o *Owner) end(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	l, ok := ask(ctx, o, func() lookup { return o.find(q) })
	if !ok {
		return unavailable
	}
	if l.record == nil {
		return l.missing()
	}
	for {
		_, err := o.store.SetStatus(ctx, kindJobs(q.Shard), string(q.Call.Job), 0, bulk.JobStatus{Ended: true})
		if err == nil {
			break
		}
		log.WithError(err).WithField("job", q.Call.Job).Warn("end of job not written yet")
		if ctx.Err() != nil {
			return bulk.Reply{Code: bulk.OutcomeUnknown}
		}
		clock.Sleep(ctx, retryAfter)
	}
	held, ok := ask(ctx, o, func() bool { o.ledger.EndJob(l.record); return o.holds(q.Shard) })
	if !ok || !held {
		// A successor may have read the job before it was ended; the repeat reaches it.
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return bulk.Reply{Code: bulk.Done}
}
