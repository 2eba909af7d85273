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
	// retryPause and maxRetryPause bound the pause before a failed store call is retried.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// segmentShare divides the store's value limit: the encoded results of a segment, or a single output, may fill half of
	// it. The rest is left to ids, names and metadata.
	segmentShare = 2
)

var (
	segmentsWritten  = metrics.NewCounter("verbenad_segments_written_total")
	segmentsByOthers = metrics.NewCounter("verbenad_segments_of_others_total")
)

// commit is the state of a job's segment writes. At most one is in flight.
type commit struct {
	// since is when the pending results began to wait.
	since   time.Time
	writing bool
	pause   time.Duration
	// bytes is the encoded size of the results that are being written.
	bytes int
	// maxBytes bounds the encoded results of the next segment if the store refused a segment as too large, 0 otherwise.
	maxBytes int
}

func (o *Owner) commitFor(r *bulk.Record) *commit {
	c, ok := o.commits[r.Job.ID]
	if !ok {
		c = &commit{}
		o.commits[r.Job.ID] = c
	}
	return c
}

// commitIfDue writes a job's pending results once they have waited for commitAfter, all items are done, or the
// job is due soon.
func (o *Owner) commitIfDue(now time.Time, r *bulk.Record) {
	c, ok := o.commits[r.Job.ID]
	if !ok || c.writing || c.since.IsZero() {
		return
	}
	if len(r.Pending) == 0 {
		delete(o.commits, r.Job.ID)
		return
	}
	if !o.ownsShard(r.Shard) {
		return // the results wait until the lease is renewed or the shard is given up
	}
	if !r.AllDone() && now.Sub(c.since) < commitAfter && r.DueAt.Sub(o.elapsed.Now()) > commitBeforeDue {
		return
	}
	c.writing = true
	limit := o.maxSegmentBytes()
	if c.maxBytes > 0 {
		limit = c.maxBytes
	}
	results, bytes := fitResults(r.Pending, limit)
	c.bytes = bytes
	segment := bulk.Segment{Results: results, Writer: fmt.Sprintf("%s/%d", o.host, now.UnixNano())}
	number, wait := r.Segments, c.pause
	ctx := o.shards[r.Shard].ctx
	go func() {
		clock.Sleep(ctx, wait)
		written, err := o.writeSegment(ctx, r, number, segment)
		o.post(func() { o.finishWrite(r, c, number, written, err) })
	}()
}

// maxSegmentBytes bounds the encoded results of a segment, and a single encoded output.
func (o *Owner) maxSegmentBytes() int { return o.valueBytes / segmentShare }

// fitResults returns as many results, at least one, as take at most maxBytes once they are encoded, and their size.
func fitResults(pending []bulk.Result, maxBytes int) (list []bulk.Result, bytes int) {
	for _, rs := range pending {
		size := rs.EncodedSize()
		if len(list) > 0 && bytes+size > maxBytes {
			break
		}
		list, bytes = append(list, rs), bytes+size
	}
	return list, bytes
}

// writeSegment creates a job's next segment and returns the one that is stored: another host's if that was first.
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
		segmentsByOthers.Inc()
		log.WithFields(log.Fields{"job": r.Job.ID, "segment": number, "writer": written.Writer}).Warn("segment was written by another host")
	}
	return written, nil
}

// finishWrite makes the results of a stored segment visible. After a failed write it lengthens the pause before the
// next one.
func (o *Owner) finishWrite(r *bulk.Record, c *commit, number int, s bulk.Segment, err error) {
	c.writing = false
	current, ok := o.ledger.Job(r.Job.ID, r.Job.Workspace)
	if !ok || current != r {
		return // dropShard has removed c; the job's new record has a commit of its own
	}
	if err != nil {
		c.pause = min(maxRetryPause, max(retryPause, 2*c.pause))
		if errors.Is(err, objects.ErrTooLarge) {
			c.maxBytes = c.bytes / 2
		}
		log.WithError(err).WithFields(log.Fields{"job": r.Job.ID, "segment": number, "bytes": c.bytes, "results": len(r.Pending)}).
			Warn("results not written yet")
		return
	}
	if !o.ownsShard(r.Shard) {
		// A successor may have listed the segments before this one took effect, so its results stay hidden. If
		// the lease was not broken, the next write of this segment finds it stored and makes it visible.
		log.WithFields(log.Fields{"job": r.Job.ID, "segment": number, "owns_shard": false, "outcome": "hidden"}).Warn("results written without the lease")
		return
	}
	c.pause, c.maxBytes = 0, 0
	c.since = o.clock.Now()
	if r.Segments == number {
		o.ledger.Commit(r, s)
	}
	log.WithFields(log.Fields{"job": r.Job.ID, "segment": number, "results": len(s.Results), "listed": len(r.Results), "total": len(r.Job.Items)}).
		Info("results visible")
	o.commitIfDue(o.clock.Now(), r)
}
