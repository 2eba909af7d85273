// Package jobstore creates, reads, lists and cancels batch jobs in the platform's store.
package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
)

const maxCancelAttempts = 5

const indexTimeLayout = "20060102T150405.000000"

// Get reads a job.
func Get(ctx context.Context, s platform.Store, id ids.JobID) (j batch.Job, v ids.Version, err error) {
	o, err := s.Get(ctx, batch.ObjectName(id))
	if err != nil {
		return batch.Job{}, 0, fmt.Errorf("read job %s: %w", id, err)
	}
	j, err = batch.ParseJob(o.Value)
	return j, o.Version, err
}

// Create stores a job, which is accepted from then on. A marker or index entry that a failed attempt leaves behind has
// no effect without the job's object.
func Create(ctx context.Context, s platform.Store, j batch.Job, shards int) (err error) {
	for _, n := range []string{IndexName(j), batch.MarkerName(j.ID, shards)} {
		_, err := s.Create(ctx, n, nil)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return fmt.Errorf("create job %s: %w", j.ID, err)
		}
	}
	if _, err := s.Create(ctx, batch.ObjectName(j.ID), j.Marshal()); err != nil {
		return fmt.Errorf("create job %s: %w", j.ID, err)
	}
	return nil
}

// Cancel requests a job's cancellation in its object, where every owner finds it, and updates its marker, which owners
// check. A job that has ended stays as it is.
func Cancel(ctx context.Context, s platform.Store, id ids.JobID, shards int, now time.Time) (j batch.Job, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("cancel job %s: %w", id, err)
		}
	}()
	for range maxCancelAttempts {
		j, err = requestCancel(ctx, s, id, now)
		if !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	if err != nil || j.State != batch.Cancelling {
		return j, err
	}
	return j, updateMarker(ctx, s, id, shards)
}

func requestCancel(ctx context.Context, s platform.Store, id ids.JobID, now time.Time) (j batch.Job, err error) {
	j, version, err := Get(ctx, s, id)
	if err != nil || j.State != batch.Open {
		return j, err
	}
	j.State, j.CancelRequested = batch.Cancelling, now.UTC()
	_, err = s.Update(ctx, batch.ObjectName(id), version, j.Marshal())
	return j, err
}

func updateMarker(ctx context.Context, s platform.Store, id ids.JobID, shards int) (err error) {
	name := batch.MarkerName(id, shards)
	for range maxCancelAttempts {
		o, err := s.Get(ctx, name)
		if errors.Is(err, platform.ErrNotFound) {
			return nil // the job has ended in the meantime
		}
		if err != nil {
			return err
		}
		_, err = s.Update(ctx, name, o.Version, []byte(batch.Cancelling))
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return platform.ErrConflict
}

// List returns a workspace's jobs, newest first and at most limit, and whether there are more.
func List(ctx context.Context, s platform.Store, w ids.WorkspaceID, limit int) (jobs []batch.Job, more bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("list jobs of %s: %w", w, err)
		}
	}()
	prefix := indexPrefix(w)
	l, err := s.List(ctx, prefix, false)
	if err != nil {
		return nil, false, err
	}
	seen := map[ids.JobID]bool{}
	for i := len(l.Objects) - 1; i >= 0; i-- {
		id := ids.JobID(l.Objects[i].Name[len(prefix)+len(indexTimeLayout)+1:])
		if seen[id] {
			continue
		}
		if len(jobs) == limit {
			return jobs, true, nil
		}
		seen[id] = true
		j, _, err := Get(ctx, s, id)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, false, err
		}
		jobs = append(jobs, j)
	}
	return jobs, false, nil
}

// IndexName returns the name of a job's entry in its workspace's list. The names are ordered by the jobs' creation time.
func IndexName(j batch.Job) string {
	return fmt.Sprintf("%s%s-%s", indexPrefix(j.Workspace), j.Created.Format(indexTimeLayout), j.ID)
}

func indexPrefix(w ids.WorkspaceID) string {
	return "jobs_of/" + string(w) + "/"
}
