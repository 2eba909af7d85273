package bulk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenaledge.example/verbena/clock"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects"
)

const (
	// retryAfter and longestRetry bound the pause before a write is tried again.
	retryAfter   = 150 * time.Millisecond
	longestRetry = 600 * time.Millisecond
	// segmentShare is the part of the store's value limit that results may fill; JSON makes text longer.
	segmentShare = 3
)

var (
	segmentsWritten = metrics.NewCounter("verbenad_segments_written_total")
	segmentsLost    = metrics.NewCounter("verbenad_segments_of_others_total")
)

// commit is the state of a job's writes. At most one is on its way.
type commit struct {
	since   time.Time
	writing bool
	pause   time.Duration
}

func (o *Owner) commitOf(r *bulk.Record) *commit {
	c, ok := o.commits[r.Job.ID]
	if !ok {
		c = &commit{}
		o.commits[r.Job.ID] = c
	}
	return c
}

// commitDue writes a job's results when enough time has passed or nothing more is to come.
func (o *Owner) commitDue(now time.Time, r *bulk.Record) {
	c, ok := o.commits[r.Job.ID]
	if !ok || c.writing || c.since.IsZero() {
		return
	}
	if len(r.Pending) == 0 {
		delete(o.commits, r.Job.ID)
		return
	}
	if !o.holds(r.Shard) {
		return // the results wait for the lease or for the shard to be given up
	}
	if !r.AllDone() && now.Sub(c.since) < commitAfter && r.Job.Due.Sub(now) > commitBeforeDue {
		return
	}
	c.writing = true
	segment := bulk.Segment{Results: fitting(r.Pending, o.valueBytes/segmentShare), Writer: fmt.Sprintf("%s/%d", o.host, now.UnixNano())}
	number, wait := r.Segments, c.pause
	ctx := o.shards[r.Shard].ctx
	go func() {
		clock.Sleep(ctx, wait)
		written, err := o.writeSegment(ctx, r, number, segment)
		o.post(func() { o.wrote(r, c, number, written, err) })
	}()
}

func fitting(pending []bulk.Result, most int) (list []bulk.Result) {
	size := 0
	for _, one := range pending {
		size += len(one.Output)
		if len(list) > 0 && size > most {
			break
		}
		list = append(list, one)
	}
	return list
}

// writeSegment creates a job's next segment. If another host did so first, its segment is the one that holds.
func (o *Owner) writeSegment(ctx context.Context, r *bulk.Record, number int, s bulk.Segment) (written bulk.Segment, err error) {
	name := segmentName(r.Job.ID, number)
	_, err = o.store.Create(ctx, kindResults(r.Shard), name, s)
	if err == nil {
		segmentsWritten.Inc()
		return s, nil
	}
	if !errors.Is(err, objects.ErrConflict) {
		return written, err
	}
	found, err := o.store.Get(ctx, kindResults(r.Shard), name)
	if err != nil {
		return written, err
	}
	if err := json.Unmarshal(found.Spec, &written); err != nil {
		return written, fmt.Errorf("decode segment %s: %w", name, err)
	}
	if written.Writer != s.Writer {
		segmentsLost.Inc()
		log.WithFields(log.Fields{"job": r.Job.ID, "segment": number, "writer": written.Writer}).Warn("segment was written by another host")
	}
	return written, nil
}

func (o *Owner) wrote(r *bulk.Record, c *commit, number int, s bulk.Segment, err error) {
	c.writing = false
	current, ok := o.ledger.Job(r.Job.ID, r.Job.Workspace)
	if !ok || current != r {
		delete(o.commits, r.Job.ID)
		return
	}
	if err != nil {
		c.pause = min(longestRetry, max(retryAfter, 2*c.pause))
		log.WithError(err).WithFields(log.Fields{"job": r.Job.ID, "segment": number, "results": len(r.Pending)}).Warn("results not written yet")
		return
	}
	if !o.holds(r.Shard) {
		// A successor may have listed the segments before this one took effect, so it isn't shown. If nobody
		// broke the lease, the next write finds it in its place.
		log.WithFields(log.Fields{"job": r.Job.ID, "segment": number, "owns_shard": false, "outcome": "hidden"}).Warn("results written without the lease")
		return
	}
	c.pause = 0
	c.since = o.clock.Now()
	if r.Segments == number {
		o.ledger.Commit(r, s)
	}
	log.WithFields(log.Fields{"job": r.Job.ID, "segment": number, "results": len(s.Results), "listed": len(r.Results), "total": len(r.Job.Items)}).
		Info("results visible")
	o.commitDue(o.clock.Now(), r)
}
