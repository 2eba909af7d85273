package caller

import (
	"errors"
	"io"
	"net/http"
	"path"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/refusal"
)

const (
	purposeBatch = "batch"
	// maxMultipartOverhead bounds the parts of a multipart form other than the file.
	maxMultipartOverhead = 64 << 10
)

type fileBody struct {
	ID        ids.FileID `json:"id"`
	Object    string     `json:"object"`
	Bytes     int        `json:"bytes"`
	CreatedAt int64      `json:"created_at"`
	Filename  string     `json:"filename"`
	Purpose   string     `json:"purpose"`
	Status    string     `json:"status"`
}

func newFileBody(f batch.File) fileBody {
	return fileBody{f.ID, "file", f.Bytes, f.Created.Unix(), f.Name, f.Purpose, "processed"}
}

// createFile validates an uploaded batch input file and stores it in the platform.
func (h *Handler) createFile(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := requireWorkspace(c); refused != nil {
		return refused
	}
	content, name, refused := h.readUpload(w, c)
	if refused != nil {
		return refused
	}
	in, err := batch.ParseInput(content)
	if err != nil {
		return refusal.New(refusal.BadRequest, 0, "%s", err)
	}
	if containsKey(h.loop.Snapshot().Keys, content) {
		return keyExposedRefusal()
	}
	chunks, firstRows := batch.Pack(in.Lines)
	f := batch.File{
		ID: batch.FileIDOf(c.workspace, content), Workspace: c.workspace, Name: name, Purpose: purposeBatch,
		Bytes: len(content), Rows: len(in.Lines), Endpoint: in.URL, Service: in.Service,
		Created: time.Now().UTC(), FirstRows: firstRows,
	}
	for i, b := range chunks {
		if refused := h.createIfAbsent(c, batch.ChunkName(f.ID, i), b); refused != nil {
			return refused
		}
	}
	if refused := h.createIfAbsent(c, batch.FileName(f.ID), f.Marshal()); refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, newFileBody(f))
	return nil
}

// createIfAbsent stores an object unless it exists already. Its name determines its content.
func (h *Handler) createIfAbsent(c *call, name string, value []byte) *refusal.Refusal {
	_, err := h.store.Create(c.Context(), name, value)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return platformRefusal(err, "file")
}

func (h *Handler) readUpload(w http.ResponseWriter, c *call) (content []byte, name string, refused *refusal.Refusal) {
	c.Body = http.MaxBytesReader(w, c.Body, int64(h.limits.MaxFileBytes+maxMultipartOverhead))
	form, err := c.MultipartReader()
	if err != nil {
		return nil, "", refusal.New(refusal.BadRequest, 0, "want a multipart form with purpose and file")
	}
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, "", formRefusal(err)
		}
		data, err := io.ReadAll(part)
		if err != nil {
			return nil, "", formRefusal(err)
		}
		switch part.FormName() {
		case "purpose":
			purpose = string(data)
		case "file":
			content, name = data, path.Base(part.FileName())
		}
	}
	if purpose != purposeBatch {
		return nil, "", refusal.New(refusal.BadRequest, 0, "purpose must be batch")
	}
	return content, name, nil
}

func formRefusal(err error) *refusal.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.TooLarge, 0, "the file is larger than %d bytes", tooLarge.Limit-maxMultipartOverhead)
	}
	return refusal.New(refusal.BadRequest, 0, "the form can't be read: %s", err)
}

func (h *Handler) showFile(w http.ResponseWriter, c *call) *refusal.Refusal {
	f, refused := h.readFile(c, ids.FileID(c.PathValue("file")))
	if refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, newFileBody(f))
	return nil
}

// readFile returns the metadata of a file of the caller's workspace: an uploaded file, or the output of a job.
func (h *Handler) readFile(c *call, id ids.FileID) (f batch.File, refused *refusal.Refusal) {
	if refused := requireWorkspace(c); refused != nil {
		return batch.File{}, refused
	}
	if job, isOutput := batch.JobOfOutputFile(id); isOutput {
		return h.readOutputFile(c, job)
	}
	o, err := h.store.Get(c.Context(), batch.FileName(id))
	if err != nil {
		return batch.File{}, platformRefusal(err, "file")
	}
	f, err = batch.ParseFile(o.Value)
	if err != nil || f.Workspace != c.workspace {
		return batch.File{}, refusal.New(refusal.NotFound, 0, "no such file")
	}
	return f, nil
}

func (h *Handler) readOutputFile(c *call, id ids.JobID) (f batch.File, refused *refusal.Refusal) {
	j, refused := h.readJob(c, id)
	if refused != nil {
		return batch.File{}, refused
	}
	if !j.State.Final() {
		return batch.File{}, refusal.New(refusal.NotFound, shortRetryAfter, "the batch has no results yet")
	}
	return batch.File{
		ID: batch.OutputFile(id), Workspace: j.Workspace, Name: string(id) + "_output.jsonl",
		Purpose: "batch_output", Rows: j.Completed + j.Failed, Created: j.Finished,
	}, nil
}

func (h *Handler) fileContent(w http.ResponseWriter, c *call) *refusal.Refusal {
	id := ids.FileID(c.PathValue("file"))
	f, refused := h.readFile(c, id)
	if refused != nil {
		return refused
	}
	names := make([]string, 0, len(f.FirstRows))
	for i := range f.FirstRows {
		names = append(names, batch.ChunkName(id, i))
	}
	if job, isOutput := batch.JobOfOutputFile(id); isOutput {
		j, refused := h.readJob(c, job)
		if refused != nil {
			return refused
		}
		for i := range j.OutputChunks {
			names = append(names, batch.OutputName(job, j.OutputEpoch, i))
		}
	}
	return h.writeChunks(w, c, names)
}

// writeChunks sends the chunks in order. If a chunk after the first can't be read, it aborts the connection, so that
// the file doesn't look complete.
func (h *Handler) writeChunks(w http.ResponseWriter, c *call, names []string) *refusal.Refusal {
	for i, n := range names {
		o, err := h.store.Get(c.Context(), n)
		if err == nil {
			o.Value, err = batch.Decompress(o.Value)
		}
		switch {
		case err != nil && i == 0:
			return platformRefusal(err, "file")
		case err != nil:
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/jsonl")
		if _, err := w.Write(o.Value); err != nil {
			return nil
		}
	}
	return nil
}
