package jobs

import (
	"context"
	"errors"
	"slices"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbenad/internal/metric"
)

// flush commits results when they have waited long enough or fill a segment.
func (s *shard) flush(ctx context.Context) (err error) {
	if s.writing == nil && !s.nextSegment() {
		return nil
	}
	ref := batch.SegmentRef{Epoch: s.epoch, Seq: s.seq, Jobs: jobsOf(s.writing)}
	seg := batch.Segment{Results: s.writing}.Marshal()
	ref.Bytes = len(seg)
	// The name is this owner's alone, and what is written under it doesn't change.
	_, err = s.runtime.store.Create(ctx, batch.SegmentName(s.id, ref), seg)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return err
	}
	if err := s.refer(ctx, ref); err != nil {
		return err
	}
	metric.Segments.Inc()
	s.committed()
	return nil
}

// refer adds a segment to the head. The head is read again first when an earlier
// try got no answer: it may have taken effect.
func (s *shard) refer(ctx context.Context, ref batch.SegmentRef) (err error) {
	h := s.head
	h.Segments = append(slices.Clone(h.Segments), ref)
	err = s.writeHead(ctx, h)
	if err == nil {
		return nil
	}
	if again := s.readHead(ctx); again != nil {
		return again
	}
	if s.refers(ref) {
		return nil
	}
	return err
}

func (s *shard) refers(ref batch.SegmentRef) bool {
	return slices.ContainsFunc(s.head.Segments, func(r batch.SegmentRef) bool {
		return r.Epoch == ref.Epoch && r.Seq == ref.Seq
	})
}

func (s *shard) nextSegment() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Since(s.since) >= s.runtime.config.FlushDelay || s.bytes >= segmentBytes || len(s.closes) > 0
	if len(s.results) == 0 || !due {
		return false
	}
	s.writing, s.results, s.bytes = s.results, nil, 0
	s.seq++
	return true
}

func (s *shard) committed() {
	bytes := 0
	done := make([]batch.Result, 0, len(s.writing))
	for _, r := range s.writing {
		bytes += len(r.Line)
		r.Line = nil
		done = append(done, r)
	}
	s.writing = nil
	s.runtime.hold(-bytes)
	metric.ItemsDone.Add(len(done))
	s.runtime.post.Post(core.BatchEvent{Event: batch.ResultsCommitted{Results: done}})
}

func jobsOf(results []batch.Result) (jobs []ids.JobID) {
	for _, r := range results {
		if !slices.Contains(jobs, r.Job) {
			jobs = append(jobs, r.Job)
		}
	}
	return jobs
}
