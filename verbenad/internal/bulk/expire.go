package bulk

import (
	"errors"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
)

// expire removes a job whose results need not be kept any longer.
func (o *Owner) expire(now time.Time, r *bulk.Record) {
	if r.Open() || len(r.Pending) > 0 || now.Sub(r.Job.Submitted) < o.retention+expireMargin {
		return
	}
	o.ledger.RemoveJob(r)
	go o.deleteObjects(r.Job.ID, r.Shard, r.Segments, r.Job.Parts)
}

// expireMargin is how long results are kept beyond the required retention.
const expireMargin = 60 * time.Second

// deleteObjects deletes a job's objects, its own last: if a deletion fails, the next load of the shard finds
// the job again.
func (o *Owner) deleteObjects(id ids.JobID, s bulk.Shard, segments, parts int) {
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
