package bulk

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// submission is a new job that is being written to the store. Repeated submissions wait for the same outcome.
type submission struct {
	workspace ids.WorkspaceID
	done      chan struct{}
	code      bulk.Code
}

// submit accepts a job once, however often it is submitted.
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
	a, ok := query(ctx, o, func() admission {
		l := o.find(q)
		if l.record != nil {
			return admission{reply: &bulk.Reply{Code: bulk.Done}}
		}
		if o.ledger.HasOther(job.ID, job.Workspace) {
			return admission{reply: &bulk.Reply{Code: bulk.IDTaken}}
		}
		if s, ok := o.submissions[job.ID]; ok && s.workspace != job.Workspace {
			return admission{reply: &unavailable} // that one may not be accepted
		} else if ok {
			return admission{sub: s}
		}
		if !l.authoritative || o.deletions[job.ID] > 0 {
			return admission{reply: &unavailable}
		}
		if !o.ledger.ReserveTokens(job, q.Call.TokenCap) {
			return admission{reply: &bulk.Reply{Code: bulk.OverCap, RetryAfter: overCapRetryAfter}}
		}
		s := &submission{workspace: job.Workspace, done: make(chan struct{})}
		o.submissions[job.ID] = s
		return admission{sub: s, first: true}
	})
	if !ok {
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
	if a.reply != nil {
		return *a.reply
	}
	if a.first {
		go o.acceptJob(*job, q.Shard, a.sub)
	}
	select {
	case <-a.sub.done:
		return bulk.Reply{Code: a.sub.code, RetryAfter: unavailableRetryAfter}
	case <-ctx.Done():
		return bulk.Reply{Code: bulk.OutcomeUnknown}
	}
}

// resolveTimeout bounds the time to find out whether a new job was written: a write without an answer may take
// effect seconds later.
const resolveTimeout = 15 * time.Second

// acceptJob writes a new job. The job is accepted once its own object, which is written last, is stored.
func (o *Owner) acceptJob(job bulk.Job, s bulk.Shard, sub *submission) {
	ctx, cancel := context.WithTimeout(o.ctx, resolveTimeout)
	defer cancel()
	received := o.elapsed.Now()
	stored, code := o.writeJob(ctx, job, s)
	if code == bulk.Done {
		o.awaitLease(ctx, s)
	}
	o.post(func() {
		delete(o.submissions, job.ID)
		if code == bulk.Done && !o.ownsShard(s) {
			// A successor may have listed the jobs before this one was stored; the caller's retry reaches it.
			code = bulk.OutcomeUnknown
		}
		if stored.job.ID == job.ID && stored.job.Workspace != job.Workspace {
			code = bulk.IDTaken
		}
		switch {
		case code != bulk.Done:
			o.ledger.ReleaseTokens(&job)
		case stored.job.ID == job.ID && len(stored.job.Items) > 0:
			o.ledger.ReleaseTokens(&job) // another host accepted it first; its stored times apply
			r := o.addStored(stored.job, s, received)
			if stored.ended {
				o.ledger.EndJob(r)
			}
		default:
			job.Parts = stored.job.Parts
			o.addAccepted(job, s, received)
		}
		log.WithFields(log.Fields{
			"job": job.ID, "workspace": job.Workspace, "items": len(job.Items), "tokens": job.Tokens(),
			"submitted_ago_ms": o.clock.Now().Sub(job.Submitted).Milliseconds(), // the entry host's clock against this one's
			"waiting_tokens":   o.ledger.WaitingTokens(job.Workspace, job.Route), "owns_shard": o.lease.Owns(s), "outcome": code.String(),
		}).Info("job submitted")
		sub.code = code
		close(sub.done)
		o.start()
	})
}

// awaitLease waits until this host's lease is valid again, in case it lapsed while the store was unavailable. If
// it could be renewed, it was not broken, so no other host owned the shard meanwhile.
func (o *Owner) awaitLease(ctx context.Context, s bulk.Shard) {
	for ctx.Err() == nil && !o.lease.Owns(s) {
		if owned, ok := query(ctx, o, func() bool { return o.shards[s] != nil }); !ok || !owned {
			return
		}
		clock.Sleep(ctx, leasePollInterval)
	}
}

// leasePollInterval is the time between checks of a lapsed lease.
const leasePollInterval = 50 * time.Millisecond

// writeJob writes a job's parts and then its own object.
func (o *Owner) writeJob(ctx context.Context, job bulk.Job, s bulk.Shard) (found storedJob, code bulk.Code) {
	if id, size := largestItem(job); size > o.valueBytes*maxItemShare/100 {
		log.WithFields(log.Fields{"job": job.ID, "item": id, "bytes": size, "outcome": "too_large"}).Warn("item can't be stored")
		return found, bulk.TooLarge
	}
	head, parts := split(job, o.valueBytes/2)
	if code := o.writeParts(ctx, s, job.ID, parts); code != bulk.Done {
		return found, code // the job doesn't exist without its own object
	}
	return o.writeHead(ctx, s, head)
}

// writeParts writes a job's parts. It stops without an error if the job is stored already.
func (o *Owner) writeParts(ctx context.Context, s bulk.Shard, id ids.JobID, parts [][]bulk.Item) bulk.Code {
	for n, p := range parts {
		name := partName(id, n+1)
		_, err := o.store.Create(ctx, kindParts(s), name, p)
		if errors.Is(err, objects.ErrConflict) {
			err = o.replaceOrphan(ctx, s, id, name, p)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, errJobStored) {
			return bulk.Done
		}
		log.WithError(err).WithField("job", id).Warn("part of a job not written")
		if errors.Is(err, objects.ErrTooLarge) {
			return bulk.TooLarge
		}
		return bulk.Unavailable
	}
	return bulk.Done
}

// errJobStored means that a job's own object exists, so that its parts must not change.
var errJobStored = errors.New("job is stored already")

// replaceOrphan replaces a part that a submission which wasn't accepted has left: it may have had other items or have been
// split at another size.
func (o *Owner) replaceOrphan(ctx context.Context, s bulk.Shard, id ids.JobID, name string, items []bulk.Item) error {
	_, err := o.store.Get(ctx, kindJobs(s), string(id))
	if err == nil {
		return errJobStored
	}
	if !errors.Is(err, objects.ErrNotFound) {
		return fmt.Errorf("read job: %w", err)
	}
	_, err = o.store.Replace(ctx, kindParts(s), name, 0, items)
	return err
}

// writeHead writes a job's own object. After a write without an answer the outcome is unknown until the store confirms
// that the object exists.
func (o *Owner) writeHead(ctx context.Context, s bulk.Shard, head bulk.Job) (found storedJob, code bulk.Code) {
	outcomeUnknown := false
	for {
		_, err := o.store.Create(ctx, kindJobs(s), string(head.ID), head)
		switch {
		case err == nil:
			found.job.Parts = head.Parts
			return found, bulk.Done
		case errors.Is(err, objects.ErrTooLarge):
			log.WithError(err).WithField("job", head.ID).Warn("job can't be stored")
			return found, bulk.TooLarge
		case errors.Is(err, objects.ErrConflict):
			if found, code, ok := o.readBack(ctx, s, head.ID); ok {
				return found, code
			}
		case errors.Is(err, objects.ErrUnknown):
			outcomeUnknown = true
		case errors.Is(err, objects.ErrRefused) && !outcomeUnknown:
			return found, bulk.Unavailable
		}
		if ctx.Err() != nil {
			return found, bulk.OutcomeUnknown
		}
		clock.Sleep(ctx, jobWriteRetryPause)
	}
}

// readBack reads a job that is stored already. ok is false if it can't be read yet.
func (o *Owner) readBack(ctx context.Context, s bulk.Shard, id ids.JobID) (found storedJob, code bulk.Code, ok bool) {
	object, err := o.store.Get(ctx, kindJobs(s), string(id))
	if err == nil {
		found, err = o.decodeJob(ctx, s, object, nil)
	}
	switch {
	case err != nil:
		log.WithError(err).WithField("job", id).Warn("job can't be read back yet")
		return storedJob{}, 0, false
	case found.expired:
		return storedJob{}, bulk.Unavailable, true // its deletion has not ended
	}
	return found, bulk.Done, true
}

// jobWriteRetryPause is the pause before a new job is written again. It is short because the caller is waiting
// and the failed call has taken time already.
const jobWriteRetryPause = 50 * time.Millisecond

// split keeps as many items in the job's own object as fit into maxBytes and puts the others into parts.
func split(job bulk.Job, maxBytes int) (head bulk.Job, parts [][]bulk.Item) {
	head = job
	var groups [][]bulk.Item
	size := 0
	for _, i := range job.Items {
		n := itemBytes(i)
		if len(groups) == 0 || size+n > maxBytes {
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

const (
	// itemOverheadBytes bounds the stored size of an item apart from its strings and body, headerOverheadBytes that of a
	// header apart from its name and value.
	itemOverheadBytes   = 200
	headerOverheadBytes = 2
	// maxItemShare is how much of the store's value limit one item may take, in percent. The rest is left to the job's
	// other fields and to the object's metadata.
	maxItemShare = 75
)

// itemBytes bounds the stored size of an item, whose body is encoded in base64.
func itemBytes(i bulk.Item) int {
	n := itemOverheadBytes + objects.EncodedSize(i.ID) + objects.EncodedSize(i.Path) + base64.StdEncoding.EncodedLen(len(i.Body))
	for k, v := range i.Header {
		n += headerOverheadBytes + objects.EncodedSize(k) + objects.EncodedSize(v)
	}
	return n
}

// largestItem returns the item of a job with the largest stored size.
func largestItem(job bulk.Job) (id bulk.ItemID, bytes int) {
	for _, i := range job.Items {
		if n := itemBytes(i); n > bytes {
			id, bytes = i.ID, n
		}
	}
	return id, bytes
}
