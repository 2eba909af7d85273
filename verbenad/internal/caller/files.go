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
	// multipartRoom is what a form needs besides the file.
	multipartRoom = 64 << 10
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

func fileOf(f batch.File) fileBody {
	return fileBody{f.ID, "file", f.Bytes, f.Created.Unix(), f.Name, f.Purpose, "processed"}
}

// createFile checks a whole input file and keeps it in the platform.
func (h *Handler) createFile(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := needWorkspace(c); refused != nil {
		return refused
	}
	content, name, refused := h.readForm(w, c)
	if refused != nil {
		return refused
	}
	in, err := batch.ParseInput(content)
	if err != nil {
		return refusal.New(refusal.BadRequest, 0, "%s", err)
	}
	if holdsKey(h.loop.Snapshot().Keys, content) {
		return keyExposed()
	}
	chunks, firstRows := batch.Pack(in.Lines)
	f := batch.File{
		ID: batch.FileIDOf(c.workspace, content), Workspace: c.workspace, Name: name, Purpose: purposeBatch,
		Bytes: len(content), Rows: len(in.Lines), Endpoint: in.URL, Service: in.Service,
		Created: time.Now().UTC(), FirstRows: firstRows,
	}
	for i, chunk := range chunks {
		if refused := h.createOnce(c, batch.ChunkName(f.ID, i), chunk); refused != nil {
			return refused
		}
	}
	if refused := h.createOnce(c, batch.FileName(f.ID), f.Marshal()); refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, fileOf(f))
	return nil
}

// createOnce writes an object whose content follows from its name, so that it
// may be there already.
func (h *Handler) createOnce(c *call, name string, value []byte) *refusal.Refusal {
	_, err := h.store.Create(c.Context(), name, value)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return platformRefusal(err, "file")
}

func (h *Handler) readForm(w http.ResponseWriter, c *call) (content []byte, name string, refused *refusal.Refusal) {
	c.Body = http.MaxBytesReader(w, c.Body, int64(h.limits.FileBytes+multipartRoom))
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
		return refusal.New(refusal.TooLarge, 0, "the file is larger than %d bytes", tooLarge.Limit-multipartRoom)
	}
	return refusal.New(refusal.BadRequest, 0, "the form can't be read: %s", err)
}

func (h *Handler) showFile(w http.ResponseWriter, c *call) *refusal.Refusal {
	f, refused := h.file(c, ids.FileID(c.PathValue("file")))
	if refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, fileOf(f))
	return nil
}

// file returns a file of the caller's workspace: one that was uploaded, or the
// output of a job.
func (h *Handler) file(c *call, id ids.FileID) (f batch.File, refused *refusal.Refusal) {
	if refused := needWorkspace(c); refused != nil {
		return batch.File{}, refused
	}
	if job, isOutput := batch.JobOfOutputFile(id); isOutput {
		return h.outputFile(c, job)
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

func (h *Handler) outputFile(c *call, id ids.JobID) (f batch.File, refused *refusal.Refusal) {
	j, refused := h.job(c, id)
	if refused != nil {
		return batch.File{}, refused
	}
	if !j.State.Final() {
		return batch.File{}, refusal.New(refusal.NotFound, time.Second, "the batch has no results yet")
	}
	return batch.File{
		ID: batch.OutputFile(id), Workspace: j.Workspace, Name: string(id) + "_output.jsonl",
		Purpose: "batch_output", Rows: j.Completed + j.Failed, Created: j.Finished,
	}, nil
}

func (h *Handler) fileContent(w http.ResponseWriter, c *call) *refusal.Refusal {
	id := ids.FileID(c.PathValue("file"))
	f, refused := h.file(c, id)
	if refused != nil {
		return refused
	}
	names := make([]string, 0, len(f.FirstRows))
	for i := range f.FirstRows {
		names = append(names, batch.ChunkName(id, i))
	}
	if job, isOutput := batch.JobOfOutputFile(id); isOutput {
		j, refused := h.job(c, job)
		if refused != nil {
			return refused
		}
		for i := range j.OutputChunks {
			names = append(names, batch.OutputName(job, j.OutputEpoch, i))
		}
	}
	return h.writeChunks(w, c, names)
}

// writeChunks sends chunks one after the other; a chunk that can't be read breaks
// the connection, so that the file never looks whole.
func (h *Handler) writeChunks(w http.ResponseWriter, c *call, names []string) *refusal.Refusal {
	for i, name := range names {
		o, err := h.store.Get(c.Context(), name)
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
