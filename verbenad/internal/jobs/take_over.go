package jobs

import (
	"context"
	"errors"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
)

// takeOver writes this owner's epoch into the head, which ends the writing of
// any former owner, and then loads the open jobs with what is committed.
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
	return s.load(ctx, committed)
}

// readSegments returns what is committed of each job, without the lines.
func (s *shard) readSegments(ctx context.Context) (committed map[ids.JobID][]batch.Result, err error) {
	committed = map[ids.JobID][]batch.Result{}
	for _, ref := range s.head.Segments {
		seg, err := s.readSegment(ctx, ref)
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

func (s *shard) load(ctx context.Context, committed map[ids.JobID][]batch.Result) (err error) {
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

// loadJob hands a job to the decisions, or ends what a former owner left undone.
func (s *shard) loadJob(ctx context.Context, id ids.JobID, marker ids.Version, committed map[ids.JobID][]batch.Result) (err error) {
	o, err := s.runtime.store.Get(ctx, batch.ObjectName(id))
	if errors.Is(err, platform.ErrNotFound) {
		return nil // its submission hasn't been accepted yet
	}
	if err != nil {
		return err
	}
	j, err := batch.ParseJob(o.Value)
	if err != nil {
		return err
	}
	if j.State.Final() {
		return s.tidy(ctx, id)
	}
	s.markers[id] = marker
	cancelling := j.State == batch.Cancelling
	j.State = batch.Open
	s.runtime.post.Post(core.BatchEvent{Event: batch.JobLoaded{Job: j, Results: committed[id]}})
	if cancelling {
		s.runtime.post.Post(core.BatchEvent{Event: batch.CancelRequested{Job: id}})
	}
	return nil
}

// readMarkers finds new jobs and jobs that were cancelled.
func (s *shard) readMarkers(ctx context.Context) (err error) {
	l, err := s.runtime.store.List(ctx, batch.MarkerPrefix(s.id), false)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		id := batch.JobOfMarker(o.Name)
		if s.markers[id] == o.Version {
			continue
		}
		if err := s.readJob(ctx, id, o.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *shard) readNudged(ctx context.Context) (err error) {
	s.mu.Lock()
	nudges := s.nudges
	s.nudges = nil
	s.mu.Unlock()
	for _, id := range nudges {
		o, err := s.runtime.store.Get(ctx, batch.MarkerName(id, s.runtime.config.Shards))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return err // the poll finds it
		}
		if err := s.readJob(ctx, id, o.Version); err != nil {
			return err
		}
	}
	return nil
}

func (s *shard) readJob(ctx context.Context, id ids.JobID, marker ids.Version) (err error) {
	if _, known := s.markers[id]; !known {
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
	s.markers[id] = marker
	if j.State == batch.Cancelling {
		s.runtime.post.Post(core.BatchEvent{Event: batch.CancelRequested{Job: id}})
	}
	return nil
}
