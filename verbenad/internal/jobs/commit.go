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

// flush commits buffered results in a segment when they are due.
func (s *shard) flush(ctx context.Context) (err error) {
	if s.pendingSegment == nil && !s.startSegment() {
		return nil
	}
	ref := batch.SegmentRef{Epoch: s.epoch, Seq: s.segmentSeq, Jobs: jobsWithResults(s.pendingSegment)}
	seg := batch.Segment{Results: s.pendingSegment}.Marshal()
	ref.Bytes = len(seg)
	// Only this owner uses the name and always with the same content, so that a
	// conflict means that an earlier write took effect.
	_, err = s.runtime.store.Create(ctx, batch.SegmentName(s.id, ref), seg)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return err
	}
	if err := s.addToHead(ctx, ref); err != nil {
		return err
	}
	metric.SegmentsWritten.Inc()
	s.reportCommitted()
	return nil
}

// addToHead adds a segment to the head. After a failed write it reads the head again,
// because the write may have taken effect.
func (s *shard) addToHead(ctx context.Context, ref batch.SegmentRef) (err error) {
	h := s.head
	h.Segments = append(slices.Clone(h.Segments), ref)
	err = s.writeHead(ctx, h)
	if err == nil {
		return nil
	}
	if readErr := s.readHead(ctx); readErr != nil {
		return readErr
	}
	if s.headContains(ref) {
		return nil
	}
	return err
}

func (s *shard) headContains(ref batch.SegmentRef) bool {
	return slices.ContainsFunc(s.head.Segments, func(r batch.SegmentRef) bool {
		return r.Epoch == ref.Epoch && r.Seq == ref.Seq
	})
}

// startSegment moves the buffered results to the pending segment if they have waited
// for FlushDelay, fill a segment or a job is to be closed.
func (s *shard) startSegment() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := time.Since(s.bufferedSince) >= s.runtime.config.FlushDelay || s.bufferedBytes >= targetSegmentBytes || len(s.pendingCloses) > 0
	if len(s.buffered) == 0 || !due {
		return false
	}
	s.pendingSegment, s.buffered, s.bufferedBytes = s.buffered, nil, 0
	s.segmentSeq++
	return true
}

func (s *shard) reportCommitted() {
	bytes := 0
	committed := make([]batch.Result, 0, len(s.pendingSegment))
	for _, r := range s.pendingSegment {
		bytes += len(r.Line)
		r.Line = nil
		committed = append(committed, r)
	}
	s.pendingSegment = nil
	s.runtime.addHeldBytes(-bytes)
	metric.ItemsDone.Add(len(committed))
	s.runtime.poster.Post(core.BatchEvent{Event: batch.ResultsCommitted{Results: committed}})
}

func jobsWithResults(results []batch.Result) (jobs []ids.JobID) {
	for _, r := range results {
		if !slices.Contains(jobs, r.Job) {
			jobs = append(jobs, r.Job)
		}
	}
	return jobs
}
