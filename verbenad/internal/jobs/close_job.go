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

// closeJobs ends the jobs that are done. On an error the remaining jobs stay pending.
func (s *shard) closeJobs(ctx context.Context) (err error) {
	for {
		s.mu.Lock()
		if len(s.pendingCloses) == 0 {
			s.mu.Unlock()
			return nil
		}
		c := s.pendingCloses[0]
		s.mu.Unlock()
		if err := s.endJob(ctx, c); err != nil {
			return err
		}
		s.mu.Lock()
		s.pendingCloses = s.pendingCloses[1:]
		s.mu.Unlock()
	}
}

// endJob writes the output, then the final state, which makes the output readable, and
// then removes the job from the shard. Each step can be repeated.
func (s *shard) endJob(ctx context.Context, c batch.CloseJob) (err error) {
	chunks, err := s.writeOutput(ctx, c.Job)
	if err != nil {
		return err
	}
	if err := s.writeFinalState(ctx, c, chunks); err != nil {
		return err
	}
	if err := s.removeEndedJob(ctx, c.Job); err != nil {
		return err
	}
	s.runtime.poster.Post(core.BatchEvent{Event: batch.JobDropped{Job: c.Job}})
	return nil
}

func (s *shard) writeOutput(ctx context.Context, id ids.JobID) (chunks int, err error) {
	w := &outputWriter{shard: s, job: id, written: map[ids.ItemIndex]bool{}}
	for _, sr := range s.head.Segments {
		if !slices.Contains(sr.Jobs, id) {
			continue
		}
		seg, err := s.readSegment(ctx, sr)
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

// outputWriter writes a job's output lines into chunks, one line for each item.
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

func (s *shard) writeFinalState(ctx context.Context, c batch.CloseJob, chunks int) (err error) {
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

// removeEndedJob removes the marker of a job that has ended and the segments that no
// other job needs.
func (s *shard) removeEndedJob(ctx context.Context, id ids.JobID) (err error) {
	next, unused := s.head.WithoutJob(id)
	if err := s.writeHead(ctx, next); err != nil {
		return errors.Join(err, s.readHead(ctx))
	}
	for _, sr := range unused {
		s.deleteObject(ctx, batch.SegmentName(s.id, sr))
	}
	s.deleteObject(ctx, batch.MarkerName(id, s.runtime.config.Shards))
	delete(s.markerVersions, id)
	return nil
}

// deleteObject deletes an unreferenced object. Errors are ignored, because an object
// that remains only uses storage.
func (s *shard) deleteObject(ctx context.Context, name string) {
	o, err := s.runtime.store.Get(ctx, name)
	if err == nil {
		_ = s.runtime.store.Delete(ctx, name, o.Version)
	}
}
