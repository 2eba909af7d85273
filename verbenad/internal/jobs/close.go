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
	"verbenaledge.example/verbena/timeline"
)

// closeJobs ends the jobs that are done. One that can't be ended now stays.
func (s *shard) closeJobs(ctx context.Context) (err error) {
	for {
		s.mu.Lock()
		if len(s.closes) == 0 {
			s.mu.Unlock()
			return nil
		}
		c := s.closes[0]
		s.mu.Unlock()
		if err := s.endJob(ctx, c); err != nil {
			return err
		}
		s.mu.Lock()
		s.closes = s.closes[1:]
		s.mu.Unlock()
	}
}

// endJob writes the results, then the end state that makes them readable, and
// then forgets the segments. Each step can be repeated.
func (s *shard) endJob(ctx context.Context, c batch.CloseJob) (err error) {
	chunks, err := s.writeOutput(ctx, c.Job)
	if err != nil {
		return err
	}
	if err := s.writeEnd(ctx, c, chunks); err != nil {
		return err
	}
	if err := s.tidy(ctx, c.Job); err != nil {
		return err
	}
	s.runtime.post.Post(core.BatchEvent{Event: batch.JobDropped{Job: c.Job}})
	return nil
}

func (s *shard) writeOutput(ctx context.Context, id ids.JobID) (chunks int, err error) {
	w := &outputWriter{shard: s, job: id, written: map[ids.ItemIndex]bool{}}
	for _, ref := range s.head.Segments {
		if !slices.Contains(ref.Jobs, id) {
			continue
		}
		seg, err := s.readSegment(ctx, ref)
		if err != nil {
			return 0, err
		}
		for _, r := range seg.Results {
			if err := w.add(ctx, r); err != nil {
				return 0, err
			}
		}
	}
	err = w.flush(ctx)
	return w.chunks, err
}

// outputWriter packs a job's lines into objects. No item is written twice.
type outputWriter struct {
	shard   *shard
	job     ids.JobID
	written map[ids.ItemIndex]bool
	buffer  []byte
	chunks  int
}

func (w *outputWriter) add(ctx context.Context, r batch.Result) (err error) {
	if r.Job != w.job || w.written[r.Index] {
		return nil
	}
	w.written[r.Index] = true
	if len(w.buffer) > 0 && len(w.buffer)+len(r.Line)+1 > batch.ChunkBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	w.buffer = append(append(w.buffer, r.Line...), '\n')
	return nil
}

func (w *outputWriter) flush(ctx context.Context) (err error) {
	if len(w.buffer) == 0 {
		return nil
	}
	name := batch.OutputName(w.job, w.shard.epoch, w.chunks)
	_, err = w.shard.runtime.store.Create(ctx, name, batch.Compress(w.buffer))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return err
	}
	w.chunks++
	w.buffer = nil
	return nil
}

func (s *shard) writeEnd(ctx context.Context, c batch.CloseJob, chunks int) (err error) {
	name := batch.ObjectName(c.Job)
	o, err := s.runtime.store.Get(ctx, name)
	if err != nil {
		return err
	}
	j, err := batch.ParseJob(o.Value)
	if err != nil {
		return err
	}
	if j.State.Final() {
		return nil
	}
	j.State, j.Completed, j.Failed = c.State, c.Completed, c.Failed
	j.Finished = time.Now().UTC()
	j.OutputEpoch, j.OutputChunks = s.epoch, chunks
	if _, err := s.runtime.store.Update(ctx, name, o.Version, j.Marshal()); err != nil {
		return err
	}
	s.runtime.timeline.Record(timeline.Event{
		Kind: timeline.JobCompleted, Job: c.Job, Workspace: j.Workspace, Detail: string(c.State),
	})
	return nil
}

// tidy forgets a job that has ended: its segments if no other job needs them,
// and its marker.
func (s *shard) tidy(ctx context.Context, id ids.JobID) (err error) {
	next, unused := s.head.WithoutJob(id)
	if err := s.writeHead(ctx, next); err != nil {
		return errors.Join(err, s.readHead(ctx))
	}
	for _, ref := range unused {
		s.remove(ctx, batch.SegmentName(s.id, ref))
	}
	s.remove(ctx, batch.MarkerName(id, s.runtime.config.Shards))
	delete(s.markers, id)
	return nil
}

// remove deletes an object that nothing refers to any more; one that stays takes
// room but does no harm.
func (s *shard) remove(ctx context.Context, name string) {
	o, err := s.runtime.store.Get(ctx, name)
	if err == nil {
		_ = s.runtime.store.Delete(ctx, name, o.Version)
	}
}
