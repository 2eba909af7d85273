package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/jobstore"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/timeline"
)

const (
	maxCompletionWindow = 7 * 24 * time.Hour
	maxListLimit        = 100
	defaultListLimit    = 20
	maxMetadataEntries  = 16
)

// batchRequest is the body of a request to create a batch.
type batchRequest struct {
	InputFileID      ids.FileID        `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

type batchBody struct {
	ID               ids.JobID         `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Model            ids.ServiceName   `json:"model"`
	InputFileID      ids.FileID        `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     ids.FileID        `json:"output_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// statusNames are the status values that client libraries know.
var statusNames = map[batch.State]string{
	batch.Open: "in_progress", batch.Cancelling: "cancelling",
	batch.Completed: "completed", batch.Cancelled: "cancelled",
}

func newBatchBody(j batch.Job) batchBody {
	b := batchBody{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, Model: j.Service, InputFileID: j.File,
		CompletionWindow: j.Deadline.Sub(j.Created).String(), Status: statusNames[j.State],
		CreatedAt: j.Created.Unix(), ExpiresAt: j.Deadline.Unix(), Metadata: j.Metadata,
		RequestCounts: requestCounts{j.Items, j.Completed, j.Failed},
	}
	if !j.CancelRequested.IsZero() {
		b.CancellingAt = j.CancelRequested.Unix()
	}
	if j.State.Final() {
		b.OutputFileID = batch.OutputFile(j.ID)
	}
	if j.State == batch.Completed {
		b.CompletedAt = j.Finished.Unix()
	}
	if j.State == batch.Cancelled {
		b.CancelledAt = j.Finished.Unix()
	}
	return b
}

// createBatch accepts a job. The job is stored in the platform before the caller gets an answer.
func (h *Handler) createBatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := requireWorkspace(c); refused != nil {
		return refused
	}
	if refused := readBody(w, c, h.limits.MaxBodyBytes); refused != nil {
		return refused
	}
	q, window, refused := parseBatch(c)
	if refused != nil {
		return refused
	}
	f, refused := h.readFile(c, q.InputFileID)
	if refused != nil {
		return refused
	}
	if refused := h.authorizeBatch(c, q, f); refused != nil {
		return refused
	}
	now := time.Now().UTC()
	j := batch.Job{
		ID: deriveJobID(c), Workspace: c.workspace, Service: f.Service, Endpoint: f.Endpoint, File: f.ID,
		BodyHash: hashBatchRequest(q), Items: f.Rows, Created: now, Deadline: now.Add(window),
		Metadata: q.Metadata, State: batch.Open,
	}
	j, refused = h.acceptJob(c, j)
	if refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, newBatchBody(j))
	return nil
}

// acceptJob stores a new job, or returns the stored job if the request is a resend.
func (h *Handler) acceptJob(c *call, j batch.Job) (accepted batch.Job, refused *refusal.Refusal) {
	err := jobstore.Create(c.Context(), h.store, j, h.shards)
	if errors.Is(err, platform.ErrConflict) {
		return h.findResentJob(c, j)
	}
	if err != nil {
		r := refusal.New(refusal.PlatformDown, platformRetryAfter, "the batch can't be kept in the platform; send it again under the same Idempotency-Key")
		return batch.Job{}, r
	}
	h.timeline.Record(timeline.Event{Kind: timeline.JobAccepted, Job: j.ID, Workspace: j.Workspace, Request: c.id})
	h.owners.JobChanged(c.Context(), j.ID)
	return j, nil
}

func (h *Handler) findResentJob(c *call, j batch.Job) (found batch.Job, refused *refusal.Refusal) {
	found, refused = h.readJob(c, j.ID)
	if refused != nil {
		return batch.Job{}, refused
	}
	if found.BodyHash != j.BodyHash {
		return batch.Job{}, refusal.New(refusal.Conflict, 0, "the Idempotency-Key was used with another batch")
	}
	return found, nil
}

func parseBatch(c *call) (q batchRequest, window time.Duration, refused *refusal.Refusal) {
	if err := json.Unmarshal(c.body, &q); err != nil {
		return q, 0, refusal.New(refusal.BadRequest, 0, "the body is not a JSON object: %s", err)
	}
	if q.InputFileID == "" {
		return q, 0, refusal.New(refusal.BadRequest, 0, "input_file_id is missing")
	}
	window, err := time.ParseDuration(q.CompletionWindow)
	if err != nil || window < time.Second || window > maxCompletionWindow {
		return q, 0, refusal.New(refusal.BadRequest, 0, "completion_window must be a duration from 1s to 168h, as in 24h")
	}
	if len(q.Metadata) > maxMetadataEntries {
		return q, 0, refusal.New(refusal.BadRequest, 0, "metadata has more than %d entries", maxMetadataEntries)
	}
	return q, window, nil
}

func (h *Handler) authorizeBatch(c *call, q batchRequest, f batch.File) *refusal.Refusal {
	if q.Endpoint != f.Endpoint {
		return refusal.New(refusal.BadRequest, 0, "endpoint is %q but the file's rows use %q", q.Endpoint, f.Endpoint)
	}
	if _, isOutput := batch.JobOfOutputFile(f.ID); isOutput {
		return refusal.New(refusal.BadRequest, 0, "the file is a batch's output")
	}
	a, allowed := h.loop.Snapshot().Rules.Allow(c.workspace, f.Service)
	if !allowed || a.BatchWeight == 0 {
		return refusal.New(refusal.Forbidden, 0, "no rule lets workspace %q run batches on %q", c.workspace, f.Service)
	}
	return nil
}

// deriveJobID returns the same ID for all requests with the same Idempotency-Key, and a new one without a key.
func deriveJobID(c *call) ids.JobID {
	key := c.Header.Get("Idempotency-Key")
	if key == "" {
		key = "request/" + string(c.id)
	} else {
		key = "key/" + key
	}
	return batch.DeriveID(c.workspace, key)
}

func hashBatchRequest(q batchRequest) string {
	data, err := json.Marshal(q)
	if err != nil {
		panic(err) // batchRequest holds only strings
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// readJob returns a job of the caller's workspace.
func (h *Handler) readJob(c *call, id ids.JobID) (j batch.Job, refused *refusal.Refusal) {
	if refused := requireWorkspace(c); refused != nil {
		return batch.Job{}, refused
	}
	j, _, err := jobstore.Get(c.Context(), h.store, id)
	if err != nil {
		return batch.Job{}, platformRefusal(err, "batch")
	}
	if j.Workspace != c.workspace {
		return batch.Job{}, refusal.New(refusal.NotFound, 0, "no such batch")
	}
	return j, nil
}

func (h *Handler) showBatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	j, refused := h.readJob(c, ids.JobID(c.PathValue("batch")))
	if refused != nil {
		return refused
	}
	if !j.State.Final() {
		if p, known := h.owners.Progress(c.Context(), j.ID); known {
			j.Completed, j.Failed = p.Completed, p.Failed
		}
	}
	writeJSON(w, http.StatusOK, newBatchBody(j))
	return nil
}

// cancelBatch requests the cancellation of a job.
func (h *Handler) cancelBatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	id := ids.JobID(c.PathValue("batch"))
	if _, refused := h.readJob(c, id); refused != nil {
		return refused
	}
	j, err := jobstore.Cancel(c.Context(), h.store, id, h.shards, time.Now())
	switch {
	case errors.Is(err, platform.ErrConflict):
		return refusal.New(refusal.Overloaded, shortRetryAfter, "the batch is changing; try again")
	case err != nil:
		return platformRefusal(err, "batch")
	}
	if j.State == batch.Cancelling {
		h.timeline.Record(timeline.Event{Kind: timeline.JobCancelled, Job: id, Workspace: j.Workspace, Request: c.id})
		h.owners.JobChanged(c.Context(), id)
	}
	writeJSON(w, http.StatusOK, newBatchBody(j))
	return nil
}

func (h *Handler) listBatches(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := requireWorkspace(c); refused != nil {
		return refused
	}
	limit := defaultListLimit
	if text := c.FormValue("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListLimit {
			return refusal.New(refusal.BadRequest, 0, "limit must be from 1 to %d", maxListLimit)
		}
		limit = n
	}
	jobs, more, err := jobstore.List(c.Context(), h.store, c.workspace, limit)
	if err != nil {
		return platformRefusal(err, "batch")
	}
	list := make([]batchBody, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, newBatchBody(j))
	}
	writeJSON(w, http.StatusOK, struct {
		Object  string      `json:"object"`
		Data    []batchBody `json:"data"`
		HasMore bool        `json:"has_more"`
	}{"list", list, more})
	return nil
}
