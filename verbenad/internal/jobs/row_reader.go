package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
)

const (
	maxCachedJobs   = 4096
	maxCachedChunks = 24
)

// rowReader reads rows of input files. It caches recently used jobs and chunks.
type rowReader struct {
	store  platform.Store
	jobs   *lru.Cache[ids.JobID, jobInput]
	chunks *lru.Cache[chunkKey, [][]byte]
}

// jobInput is a job's workspace and input file.
type jobInput struct {
	workspace ids.WorkspaceID
	file      batch.File
}

type chunkKey struct {
	file  ids.FileID
	chunk int
}

func newRowReader(s platform.Store) *rowReader {
	jobs, _ := lru.New[ids.JobID, jobInput](maxCachedJobs)    // fails only on a size below 1
	chunks, _ := lru.New[chunkKey, [][]byte](maxCachedChunks) // fails only on a size below 1
	return &rowReader{store: s, jobs: jobs, chunks: chunks}
}

func (r *rowReader) read(ctx context.Context, ref batch.ItemRef) (row batch.Row, w ids.WorkspaceID, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read item %d of %s: %w", ref.Index, ref.Job, err)
		}
	}()
	in, err := r.input(ctx, ref.Job)
	if err != nil {
		return batch.Row{}, "", err
	}
	n := in.file.ChunkOf(ref.Index)
	lines, err := r.chunk(ctx, chunkKey{in.file.ID, n})
	if err != nil {
		return batch.Row{}, "", err
	}
	at := int(ref.Index) - in.file.FirstRows[n]
	if at < 0 || at >= len(lines) {
		return batch.Row{}, "", fmt.Errorf("chunk %d has %d rows", n, len(lines))
	}
	return row, in.workspace, json.Unmarshal(lines[at], &row)
}

func (r *rowReader) input(ctx context.Context, id ids.JobID) (in jobInput, err error) {
	if in, ok := r.jobs.Get(id); ok {
		return in, nil
	}
	o, err := r.store.Get(ctx, batch.ObjectName(id))
	if err != nil {
		return jobInput{}, err
	}
	j, err := batch.ParseJob(o.Value)
	if err != nil {
		return jobInput{}, err
	}
	o, err = r.store.Get(ctx, batch.FileName(j.File))
	if err != nil {
		return jobInput{}, err
	}
	f, err := batch.ParseFile(o.Value)
	if err != nil {
		return jobInput{}, err
	}
	in = jobInput{j.Workspace, f}
	r.jobs.Add(id, in)
	return in, nil
}

func (r *rowReader) chunk(ctx context.Context, k chunkKey) (lines [][]byte, err error) {
	if lines, ok := r.chunks.Get(k); ok {
		return lines, nil
	}
	o, err := r.store.Get(ctx, batch.ChunkName(k.file, k.chunk))
	if err != nil {
		return nil, err
	}
	raw, err := batch.Decompress(o.Value)
	if err != nil {
		return nil, err
	}
	lines = bytes.Split(bytes.TrimRight(raw, "\n"), []byte{'\n'})
	r.chunks.Add(k, lines)
	return lines, nil
}
