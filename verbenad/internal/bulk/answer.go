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
	// minCallTimeout is the time that a call gets at least, even if its caller has less left.
	minCallTimeout = 50 * time.Millisecond
	// maxReadBytes bounds the results of one read.
	maxReadBytes = 900 << 10
	// overCapRetryAfter is when to resubmit a job that exceeded the cap: some items complete within it.
	overCapRetryAfter = 700 * time.Millisecond
	// unavailableRetryAfter is when to call an owner again that wasn't ready.
	unavailableRetryAfter = 300 * time.Millisecond
)

// Answer executes a call on a job.
func (o *Owner) Answer(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	ctx, cancel := context.WithTimeout(ctx, max(q.Call.Remaining, minCallTimeout))
	defer cancel()
	if !q.Call.NamesStorable() {
		return answerUnstorable(q.Call.Op)
	}
	switch q.Call.Op {
	case bulk.Submit:
		return o.submit(ctx, q)
	case bulk.ReadResults:
		return o.readResults(ctx, q)
	case bulk.ReadBody:
		return o.readBody(ctx, q)
	case bulk.EndJob:
		return o.endJob(ctx, q)
	case bulk.HandOverProgress:
		if reply, ok := query(ctx, o, func() bulk.Reply { return o.handleReport(q) }); ok {
			return reply
		}
	}
	return unavailable
}

var unavailable = bulk.Reply{Code: bulk.Unavailable, RetryAfter: unavailableRetryAfter}

// answerUnstorable answers a call on ids that no job or item can have. Only hosts of former releases send them.
func answerUnstorable(op bulk.Op) bulk.Reply {
	if op == bulk.Submit {
		return unavailable
	}
	return bulk.Reply{Code: bulk.NotFound}
}

// query runs a function in the goroutine of Run and waits for its return value.
func query[T any](ctx context.Context, o *Owner, f func() T) (answer T, ok bool) {
	c := make(chan T, 1)
	o.post(func() { c <- f() })
	select {
	case answer = <-c:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// lookup is the result of looking up a job in the ledger; record is nil if there is none.
type lookup struct {
	record *bulk.Record
	// authoritative means that a job that was not found doesn't exist.
	authoritative bool
}

func (o *Owner) find(q hostlink.JobsCall) lookup {
	sh, ok := o.shards[q.Shard]
	if !ok || !sh.ready {
		return lookup{}
	}
	r, _ := o.ledger.Job(q.Call.Job, q.Call.Workspace)
	_, pending := o.submissions[q.Call.Job]
	return lookup{record: r, authoritative: o.lease.Owns(q.Shard) && !pending && !sh.unreadable[q.Call.Job]}
}

// ownsShard reports whether the shard is loaded and this host is still its only owner, so that no successor can have
// read the store yet.
func (o *Owner) ownsShard(s bulk.Shard) bool {
	sh, ok := o.shards[s]
	return ok && sh.ready && o.lease.Owns(s)
}

// notFound returns the reply for a job that was not found.
func (l lookup) notFound() bulk.Reply {
	if l.authoritative {
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
	// owned means that no successor can have made more results visible.
	owned bool
}

// checkedReply returns the reply, or unavailable if it has no results and the shard may have a new owner: a former
// owner doesn't know which results its successor has made visible.
func (v readView) checkedReply() bulk.Reply {
	if len(v.reply.Results) == 0 && !v.owned {
		return unavailable
	}
	return v.reply
}

// pageBytes returns the size of a page of results.
func pageBytes(c bulk.Call) int {
	if c.MaxBytes > 0 {
		return min(c.MaxBytes, maxReadBytes)
	}
	return maxReadBytes
}

func (o *Owner) readResults(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	wait := time.NewTimer(q.Call.Wait)
	defer wait.Stop()
	timedOut := q.Call.Wait <= 0
	for {
		v, ok := query(ctx, o, func() (v readView) {
			v.lookup = o.find(q)
			if r := v.record; r != nil {
				v.reply = bulk.Reply{Code: bulk.Done, Total: len(r.Job.Items)}
				v.reply.Results, v.reply.Next = r.Page(q.Call.After, pageBytes(q.Call))
				v.changed, v.open, v.owned = r.Changed(), r.Open(), o.ownsShard(q.Shard)
			}
			return v
		})
		if !ok {
			return unavailable
		}
		if v.record == nil {
			return v.notFound()
		}
		if len(v.reply.Results) > 0 || !v.open || timedOut {
			return v.checkedReply()
		}
		select {
		case <-v.changed:
		case <-wait.C:
			timedOut = true // query once more: the lease may have been lost meanwhile
		case <-ctx.Done():
			return unavailable
		}
	}
}

func (o *Owner) readBody(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	reply, ok := query(ctx, o, func() bulk.Reply {
		l := o.find(q)
		if l.record == nil {
			return l.notFound()
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

// endJob writes the end of a job to the store, then stops the job.
func (o *Owner) endJob(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	l, ok := query(ctx, o, func() lookup { return o.find(q) })
	if !ok {
		return unavailable
	}
	if l.record == nil {
		return l.notFound()
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
		clock.Sleep(ctx, retryPause)
	}
	owned, ok := query(ctx, o, func() bool { o.ledger.EndJob(l.record); return o.ownsShard(q.Shard) })
	if !ok || !owned {
		// A successor may have read the job before it was ended; the caller's retry reaches the successor.
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	return bulk.Reply{Code: bulk.Done}
}
