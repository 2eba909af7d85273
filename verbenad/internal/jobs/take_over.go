package jobs

import (
	"context"
	"errors"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
)

// takeOver writes this owner's epoch into the head, so that former owners can no longer
// update it, and then loads the open jobs with their committed results.
func (s *shard) takeOver(ctx context.Context) (err error) {
	if err := s.readHead(ctx); err != nil {
		return err
	}
	h := s.head
	h.Epoch = s.epoch
	if err := s.writeHead(ctx, h); err != nil {
		return err
	}
	committed, err := s.readSegments(ctx)
	if err != nil {
		return err
	}
	return s.loadJobs(ctx, committed)
}

// readSegments returns the committed results of each job without their lines.
func (s *shard) readSegments(ctx context.Context) (committed map[ids.JobID][]batch.Result, err error) {
	committed = map[ids.JobID][]batch.Result{}
	for _, sr := range s.head.Segments {
		seg, err := s.readSegment(ctx, sr)
		if err != nil {
			return nil, err
		}
		for _, r := range seg.Results {
			r.Line = nil
			committed[r.Job] = append(committed[r.Job], r)
		}
	}
	return committed, nil
}

func (s *shard) readSegment(ctx context.Context, ref batch.SegmentRef) (seg batch.Segment, err error) {
	o, err := s.runtime.store.Get(ctx, batch.SegmentName(s.id, ref))
	if err != nil {
		return batch.Segment{}, err
	}
	return batch.ParseSegment(o.Value)
}

func (s *shard) loadJobs(ctx context.Context, committed map[ids.JobID][]batch.Result) (err error) {
	l, err := s.runtime.store.List(ctx, batch.MarkerPrefix(s.id), false)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		if err := s.loadJob(ctx, batch.JobOfMarker(o.Name), o.Version, committed); err != nil {
			return err
		}
	}
	return nil
}

// loadJob posts an open job to the control loop. For a job in a final state, it finishes
// the removal that a former owner didn't complete.
func (s *shard) loadJob(ctx context.Context, id ids.JobID, marker ids.Version, committed map[ids.JobID][]batch.Result) (err error) {
	o, err := s.runtime.store.Get(ctx, batch.ObjectName(id))
	if errors.Is(err, platform.ErrNotFound) {
		return nil // the submission hasn't been accepted yet
	}
	if err != nil {
		return err
	}
	j, err := batch.ParseJob(o.Value)
	if err != nil {
		return err
	}
	if j.State.Final() {
		return s.removeEndedJob(ctx, id)
	}
	s.markerVersions[id] = marker
	cancelling := j.State == batch.Cancelling
	j.State = batch.Open
	s.runtime.poster.Post(core.BatchEvent{Event: batch.JobLoaded{Job: j, Results: committed[id]}})
	if cancelling {
		s.runtime.poster.Post(core.BatchEvent{Event: batch.CancelRequested{Job: id}})
	}
	return nil
}

// readMarkers reads jobs that are new or were cancelled since the last read.
func (s *shard) readMarkers(ctx context.Context) (err error) {
	l, err := s.runtime.store.List(ctx, batch.MarkerPrefix(s.id), false)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		id := batch.JobOfMarker(o.Name)
		if s.markerVersions[id] == o.Version {
			continue
		}
		if err := s.readJob(ctx, id, o.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *shard) rereadJobs(ctx context.Context) (err error) {
	s.mu.Lock()
	jobs := s.pendingRereads
	s.pendingRereads = nil
	s.mu.Unlock()
	for _, id := range jobs {
		o, err := s.runtime.store.Get(ctx, batch.MarkerName(id, s.runtime.config.Shards))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err // readMarkers finds the change later
		}
		if err := s.readJob(ctx, id, o.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *shard) readJob(ctx context.Context, id ids.JobID, marker ids.Version) (err error) {
	if _, known := s.markerVersions[id]; !known {
		return s.loadJob(ctx, id, marker, nil)
	}
	o, err := s.runtime.store.Get(ctx, batch.ObjectName(id))
	if err != nil {
		return err
	}
	j, err := batch.ParseJob(o.Value)
	if err != nil {
		return err
	}
	s.markerVersions[id] = marker
	if j.State == batch.Cancelling {
		s.runtime.poster.Post(core.BatchEvent{Event: batch.CancelRequested{Job: id}})
	}
	return nil
}
