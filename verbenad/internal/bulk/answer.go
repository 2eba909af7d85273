package bulk

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
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

// submission is a new job on its way into the store. Repeats wait for the same outcome.
type submission struct {
	done chan struct{}
	code bulk.Code
}

// Answer answers a call on a job.
func (o *Owner) Answer(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	ctx, cancel := context.WithTimeout(ctx, max(q.Call.Patience, 50*time.Millisecond))
	defer cancel()
	switch q.Call.Op {
	case bulk.Submit:
		return o.submit(ctx, q)
	case bulk.Read:
		return o.readResults(ctx, q)
	case bulk.Body:
		return o.body(ctx, q)
	case bulk.Finish:
		return o.end(ctx, q)
	}
	return unavailable
}

var unavailable = bulk.Reply{Code: bulk.Unavailable, Later: unavailablePause}

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
		return bulk.Reply{Code: bulk.Missing}
	}
	return unavailable
}

// readView is a consistent view of a job's results.
type readView struct {
	lookup
	reply   bulk.Reply
	changed <-chan struct{}
	open    bool
}

func (o *Owner) readResults(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	wait := time.NewTimer(q.Call.Wait)
	defer wait.Stop()
	for {
		v, ok := ask(ctx, o, func() (v readView) {
			v.lookup = o.find(q)
			if r := v.record; r != nil {
				v.reply = bulk.Reply{Code: bulk.Done, Total: len(r.Job.Items)}
				v.reply.Results, v.reply.Next = r.Slice(q.Call.After, readBytes)
				v.changed, v.open = r.Changed(), r.Open()
			}
			return v
		})
		if !ok {
			return unavailable
		}
		if v.record == nil {
			return v.missing()
		}
		if len(v.reply.Results) > 0 || !v.open || q.Call.Wait <= 0 {
			return v.reply
		}
		select {
		case <-v.changed:
		case <-wait.C:
			return v.reply
		case <-ctx.Done():
			return v.reply
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
		if !ok || l.record.Ended || l.record.Listed(q.Call.Item) {
			return bulk.Reply{Code: bulk.Missing}
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
		_, err := o.store.SetStatus(ctx, kindJobs(q.Shard), string(q.Call.Job), 0, bulk.End{Ended: true})
		if err == nil {
			break
		}
		log.WithError(err).WithField("job", q.Call.Job).Warn("end of job not written yet")
		if ctx.Err() != nil {
			return bulk.Reply{Code: bulk.Unsettled}
		}
		pause(ctx, retryAfter)
	}
	held, ok := ask(ctx, o, func() bool { o.ledger.End(l.record); return o.holds(q.Shard) })
	if !ok || !held {
		// A successor may have read the job before it was ended; the repeat reaches it.
		return bulk.Reply{Code: bulk.Unsettled}
	}
	return bulk.Reply{Code: bulk.Done}
}

// submit accepts a job once, however often it comes.
func (o *Owner) submit(ctx context.Context, q hostlink.JobsCall) bulk.Reply {
	type admission struct {
		reply *bulk.Reply
		sub   *submission
		first bool
	}
	job := q.Call.New
	if job == nil {
		return unavailable
	}
	a, ok := ask(ctx, o, func() admission {
		l := o.find(q)
		if l.record != nil {
			return admission{reply: &bulk.Reply{Code: bulk.Done}}
		}
		if s, ok := o.submits[job.ID]; ok {
			return admission{sub: s}
		}
		if !l.sure {
			return admission{reply: &unavailable}
		}
		if !o.ledger.Reserve(job, q.Call.Cap) {
			return admission{reply: &bulk.Reply{Code: bulk.OverCap, Later: capPause}}
		}
		s := &submission{done: make(chan struct{})}
		o.submits[job.ID] = s
		return admission{sub: s, first: true}
	})
	if !ok {
		return bulk.Reply{Code: bulk.Unsettled}
	}
	if a.reply != nil {
		return *a.reply
	}
	if a.first {
		go o.accept(*job, q.Shard, a.sub)
	}
	select {
	case <-a.sub.done:
		return bulk.Reply{Code: a.sub.code, Later: unavailablePause}
	case <-ctx.Done():
		return bulk.Reply{Code: bulk.Unsettled}
	}
}

// settleFor is how long a write of a new job without an answer is settled; it may land seconds late.
const settleFor = 15 * time.Second

// accept writes a new job. Only its own object, written last, makes it accepted.
func (o *Owner) accept(job bulk.Job, s bulk.Shard, sub *submission) {
	ctx, cancel := context.WithTimeout(o.ctx, settleFor)
	defer cancel()
	stored, code := o.writeJob(ctx, job, s)
	if code == bulk.Done {
		o.awaitLease(ctx, s)
	}
	o.post(func() {
		delete(o.submits, job.ID)
		if code == bulk.Done && !o.holds(s) {
			// A successor may have listed the jobs before this one was there; the repeat reaches it.
			code = bulk.Unsettled
		}
		switch {
		case code != bulk.Done:
			o.ledger.Free(&job)
		case stored.job.ID == job.ID && len(stored.job.Items) > 0:
			o.ledger.Free(&job) // another host accepted it first, at its own time
			r := o.ledger.Add(stored.job, s, false)
			if stored.ended {
				o.ledger.End(r)
			}
		default:
			o.ledger.Add(job, s, true)
		}
		log.WithFields(log.Fields{
			"job": job.ID, "workspace": job.Workspace, "items": len(job.Items), "tokens": job.Tokens(),
			"waiting_tokens": o.ledger.Waiting(job.Workspace, job.Route), "owns_shard": o.lease.Owns(s), "outcome": code.String(),
		}).Info("job submitted")
		sub.code = code
		close(sub.done)
		o.start()
	})
}

// awaitLease waits until this host's lease holds again, if it lapsed while the store was away. Nobody
// broke it then, so nobody else owned the shard meanwhile.
func (o *Owner) awaitLease(ctx context.Context, s bulk.Shard) {
	for ctx.Err() == nil && !o.lease.Owns(s) {
		if owned, ok := ask(ctx, o, func() bool { return o.shards[s] != nil }); !ok || !owned {
			return
		}
		pause(ctx, leaseLook)
	}
}

// leaseLook is the time between looks at a lease that has lapsed.
const leaseLook = 50 * time.Millisecond

// writeJob writes a job's parts and then its own object. Once a write had no answer, only an answer
// that the object is there settles it.
func (o *Owner) writeJob(ctx context.Context, job bulk.Job, s bulk.Shard) (found storedJob, code bulk.Code) {
	head, parts := split(job, o.valueBytes/2)
	for n, items := range parts {
		if _, err := o.store.Create(ctx, kindParts(s), partName(job.ID, n+1), items); err != nil && !errors.Is(err, objects.ErrConflict) {
			log.WithError(err).WithField("job", job.ID).Warn("part of a job not written")
			return found, bulk.Unavailable // without its own object no job exists
		}
	}
	unknown := false
	for {
		_, err := o.store.Create(ctx, kindJobs(s), string(job.ID), head)
		switch {
		case err == nil:
			return found, bulk.Done
		case errors.Is(err, objects.ErrConflict):
			object, err := o.store.Get(ctx, kindJobs(s), string(job.ID))
			if err == nil {
				if found, err = o.decodeJob(ctx, s, object); err == nil {
					return found, bulk.Done
				}
			}
			log.WithError(err).WithField("job", job.ID).Warn("job can't be read back yet")
		case errors.Is(err, objects.ErrUnknown):
			unknown = true
		}
		if err != nil && errors.Is(err, objects.ErrRefused) && !unknown {
			return found, bulk.Unavailable
		}
		if ctx.Err() != nil {
			return found, bulk.Unsettled
		}
		pause(ctx, retryAfter)
	}
}

// split keeps as many items in the job's own object as fit and puts the others into parts.
func split(job bulk.Job, most int) (head bulk.Job, parts [][]bulk.Item) {
	head = job
	var groups [][]bulk.Item
	size := 0
	for _, i := range job.Items {
		n := itemBytes(i)
		if len(groups) == 0 || size+n > most {
			groups, size = append(groups, nil), 0
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], i)
		size += n
	}
	if len(groups) > 0 {
		head.Items, parts = groups[0], groups[1:]
	}
	head.Parts = len(parts)
	return head, parts
}

// itemBytes is about the size of an item in the store, where bodies are in base64.
func itemBytes(i bulk.Item) int {
	n := 200 + len(i.Path) + len(i.Body)*4/3
	for k, v := range i.Header {
		n += len(k) + len(v)
	}
	return n
}

// expire forgets a job whose results need not be kept any longer.
func (o *Owner) expire(now time.Time, r *bulk.Record) {
	if r.Open() || len(r.Pending) > 0 || now.Sub(r.Job.Submitted) < o.kept+expireMargin {
		return
	}
	o.ledger.Remove(r)
	go o.remove(r.Job.ID, r.Shard, r.Segments, r.Job.Parts)
}

// expireMargin is added to the time for which results must stay readable.
const expireMargin = 60 * time.Second

// remove deletes a job's objects, its own last, so that what fails is found again at the next load.
func (o *Owner) remove(id ids.JobID, s bulk.Shard, segments, parts int) {
	var errs []error
	for n := range segments {
		errs = append(errs, o.store.Delete(o.ctx, kindResults(s), segmentName(id, n), 0))
	}
	for n := 1; n <= parts; n++ {
		errs = append(errs, o.store.Delete(o.ctx, kindParts(s), partName(id, n), 0))
	}
	if err := errors.Join(errs...); err != nil {
		log.WithError(err).WithField("job", id).Warn("old results not deleted")
		return
	}
	if err := o.store.Delete(o.ctx, kindJobs(s), string(id), 0); err != nil {
		log.WithError(err).WithField("job", id).Warn("old job not deleted")
	}
}
