package bulk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// expiredJob replaces a job's own object before the job's other objects are deleted, and is deleted last. A deletion
// that was cut off at any step is resumed from it. Former releases read it as a job without items.
type expiredJob struct {
	bulk.Job
	Expired bool `json:"expired"`
	// Parts and Segments count the objects to delete.
	ExpiredParts    int `json:"expired_parts"`
	ExpiredSegments int `json:"expired_segments"`
}

// asExpired returns the form that replaces a job's own object; segments is the number of its visible segments.
func asExpired(j bulk.Job, segments int) expiredJob {
	e := expiredJob{Job: j, Expired: true, ExpiredParts: j.Parts, ExpiredSegments: segments}
	e.Items, e.Parts = nil, 0
	return e
}

// deleteJob deletes all objects of an expired job and repeats what fails until the context ends. The next owner of the
// shard resumes what is left.
func (o *Owner) deleteJob(ctx context.Context, s bulk.Shard, id ids.JobID, segments int) {
	defer o.post(func() { o.endDeletion(id) })
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		err := o.tryDeleteJob(ctx, s, id, segments)
		if err == nil {
			log.WithField("job", id).Info("expired job deleted")
			return
		}
		log.WithError(err).WithField("job", id).Warn("expired job not deleted yet")
		clock.Sleep(ctx, pause)
	}
}

func (o *Owner) tryDeleteJob(ctx context.Context, s bulk.Shard, id ids.JobID, segments int) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("delete expired job %s: %w", id, err)
		}
	}()
	e, revision, err := o.markExpired(ctx, s, id, segments)
	if err != nil {
		return ignoreNotFound(err)
	}
	// One segment more than is visible may have been written by an owner that has lost its lease.
	for n := range e.ExpiredSegments + 1 {
		if err := ignoreNotFound(o.store.Delete(ctx, kindResults(s), segmentName(id, n), 0)); err != nil {
			return err
		}
	}
	for n := range e.ExpiredParts {
		if err := ignoreNotFound(o.store.Delete(ctx, kindParts(s), partName(id, n+1), 0)); err != nil {
			return err
		}
	}
	return ignoreNotFound(o.store.Delete(ctx, kindJobs(s), string(id), revision))
}

// markExpired replaces a job's own object by its expired form, unless that is stored already.
func (o *Owner) markExpired(ctx context.Context, s bulk.Shard, id ids.JobID, segments int) (e expiredJob, at objects.Revision, err error) {
	found, err := o.store.Get(ctx, kindJobs(s), string(id))
	if err != nil {
		return e, 0, err
	}
	if err := json.Unmarshal(found.Spec, &e); err != nil {
		return e, 0, err
	}
	if e.Expired {
		return e, found.Revision, nil
	}
	e = asExpired(e.Job, segments)
	written, err := o.store.Replace(ctx, kindJobs(s), string(id), found.Revision, e)
	return e, written.Revision, err
}

func ignoreNotFound(err error) error {
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}

// expireMargin is how long results are kept beyond the required retention.
const expireMargin = 60 * time.Second

// isPastRetention reports whether the results of a job that isn't open need not be kept any longer.
func (o *Owner) isPastRetention(now time.Time, j bulk.Job) bool {
	return now.Sub(j.Submitted) >= o.retention+expireMargin
}

// expire removes a job whose results need not be kept any longer.
func (o *Owner) expire(now time.Time, r *bulk.Record) {
	if r.Open() || len(r.Pending) > 0 || !o.isPastRetention(now, r.Job) {
		return
	}
	o.ledger.RemoveJob(r)
	o.startDeletion(o.shards[r.Shard].ctx, r.Shard, r.Job.ID, r.Segments)
}

// startDeletion deletes an expired job in the background. Until it has ended the job's id isn't accepted again, since
// the new job's objects would have the same names.
func (o *Owner) startDeletion(ctx context.Context, s bulk.Shard, id ids.JobID, segments int) {
	o.deletions[id]++
	go o.deleteJob(ctx, s, id, segments)
}

func (o *Owner) endDeletion(id ids.JobID) {
	if o.deletions[id]--; o.deletions[id] == 0 {
		delete(o.deletions, id)
	}
}
