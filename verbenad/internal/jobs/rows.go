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
	cachedJobs   = 4096
	cachedChunks = 24
)

// rows reads items of input files, with the newest chunks kept in memory.
type rows struct {
	store  platform.Store
	jobs   *lru.Cache[ids.JobID, source]
	chunks *lru.Cache[chunkKey, [][]byte]
}

// source is where a job's items come from.
type source struct {
	workspace ids.WorkspaceID
	file      batch.File
}

type chunkKey struct {
	file  ids.FileID
	chunk int
}

func newRows(s platform.Store) *rows {
	jobs, _ := lru.New[ids.JobID, source](cachedJobs)      // fails only on a size below 1
	chunks, _ := lru.New[chunkKey, [][]byte](cachedChunks) // fails only on a size below 1
	return &rows{store: s, jobs: jobs, chunks: chunks}
}

func (r *rows) row(ctx context.Context, ref batch.ItemRef) (row batch.Row, w ids.WorkspaceID, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read item %d of %s: %w", ref.Index, ref.Job, err)
		}
	}()
	src, err := r.source(ctx, ref.Job)
	if err != nil {
		return batch.Row{}, "", err
	}
	n := src.file.ChunkOf(ref.Index)
	lines, err := r.chunk(ctx, chunkKey{src.file.ID, n})
	if err != nil {
		return batch.Row{}, "", err
	}
	at := int(ref.Index) - src.file.FirstRows[n]
	if at < 0 || at >= len(lines) {
		return batch.Row{}, "", fmt.Errorf("chunk %d has %d rows", n, len(lines))
	}
	return row, src.workspace, json.Unmarshal(lines[at], &row)
}

func (r *rows) source(ctx context.Context, id ids.JobID) (src source, err error) {
	if src, ok := r.jobs.Get(id); ok {
		return src, nil
	}
	o, err := r.store.Get(ctx, batch.ObjectName(id))
	if err != nil {
		return source{}, err
	}
	j, err := batch.ParseJob(o.Value)
	if err != nil {
		return source{}, err
	}
	o, err = r.store.Get(ctx, batch.FileName(j.File))
	if err != nil {
		return source{}, err
	}
	f, err := batch.ParseFile(o.Value)
	if err != nil {
		return source{}, err
	}
	src = source{j.Workspace, f}
	r.jobs.Add(id, src)
	return src, nil
}

func (r *rows) chunk(ctx context.Context, k chunkKey) (lines [][]byte, err error) {
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
