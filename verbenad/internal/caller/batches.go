package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/timeline"
)

const (
	maxWindow       = 7 * 24 * time.Hour
	maxListed       = 100
	defaultListed   = 20
	maxMetadata     = 16
	cancelTries     = 5
	indexTimeLayout = "20060102T150405.000000"
)

// batchRequest is the body of a submission.
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

// statusNames are the words that client libraries know.
var statusNames = map[batch.State]string{
	batch.Open: "in_progress", batch.Cancelling: "cancelling",
	batch.Completed: "completed", batch.Cancelled: "cancelled",
}

func batchOf(j batch.Job) batchBody {
	b := batchBody{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, Model: j.Service, InputFileID: j.File,
		CompletionWindow: j.Deadline.Sub(j.Created).String(), Status: statusNames[j.State],
		CreatedAt: j.Created.Unix(), ExpiresAt: j.Deadline.Unix(), Metadata: j.Metadata,
		RequestCounts: requestCounts{j.Items, j.Completed, j.Failed},
	}
	if !j.CancelAsked.IsZero() {
		b.CancellingAt = j.CancelAsked.Unix()
	}
	if j.State.Final() {
		b.OutputFileID = batch.OutputFile(j.ID)
	}
	switch j.State {
	case batch.Completed:
		b.CompletedAt = j.Finished.Unix()
	case batch.Cancelled:
		b.CancelledAt = j.Finished.Unix()
	}
	return b
}

// createBatch accepts a job: it is in the platform before the answer is given.
func (h *Handler) createBatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := needWorkspace(c); refused != nil {
		return refused
	}
	if refused := readBody(w, c, h.limits.BodyBytes); refused != nil {
		return refused
	}
	q, window, refused := parseBatch(c)
	if refused != nil {
		return refused
	}
	f, refused := h.file(c, q.InputFileID)
	if refused != nil {
		return refused
	}
	if refused := h.mayBatch(c, q, f); refused != nil {
		return refused
	}
	now := time.Now().UTC()
	j := batch.Job{
		ID: jobID(c), Workspace: c.workspace, Service: f.Service, Endpoint: f.Endpoint, File: f.ID,
		BodyHash: bodyHash(q), Items: f.Rows, Created: now, Deadline: now.Add(window),
		Metadata: q.Metadata, State: batch.Open,
	}
	j, refused = h.acceptJob(c, j)
	if refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, batchOf(j))
	return nil
}

// acceptJob creates the job, or finds that a resend has met it.
func (h *Handler) acceptJob(c *call, j batch.Job) (accepted batch.Job, refused *refusal.Refusal) {
	// The job counts from its object on; a marker or index entry alone is nothing.
	for _, name := range []string{indexName(j), batch.MarkerName(j.ID, h.shards)} {
		if refused := h.createOnce(c, name, nil); refused != nil {
			return batch.Job{}, refused
		}
	}
	_, err := h.store.Create(c.Context(), batch.ObjectName(j.ID), j.Marshal())
	if errors.Is(err, platform.ErrConflict) {
		return h.resentJob(c, j)
	}
	if err != nil {
		r := refusal.New(refusal.PlatformDown, platformPause, "the batch can't be kept in the platform; send it again under the same Idempotency-Key")
		return batch.Job{}, r
	}
	h.timeline.Record(timeline.Event{Kind: timeline.JobAccepted, Job: j.ID, Workspace: j.Workspace, Request: c.id})
	h.nudger.JobChanged(c.Context(), j.ID)
	return j, nil
}

func (h *Handler) resentJob(c *call, j batch.Job) (found batch.Job, refused *refusal.Refusal) {
	found, _, refused = h.job(c, j.ID)
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
	if err != nil || window < time.Second || window > maxWindow {
		return q, 0, refusal.New(refusal.BadRequest, 0, "completion_window must be a duration from 1s to 168h, as in 24h")
	}
	if len(q.Metadata) > maxMetadata {
		return q, 0, refusal.New(refusal.BadRequest, 0, "metadata has more than %d entries", maxMetadata)
	}
	return q, window, nil
}

func (h *Handler) mayBatch(c *call, q batchRequest, f batch.File) *refusal.Refusal {
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

func jobID(c *call) ids.JobID {
	key := c.Header.Get("Idempotency-Key")
	if key == "" {
		key = "request/" + string(c.id)
	} else {
		key = "key/" + key
	}
	return batch.DeriveID(c.workspace, key)
}

func bodyHash(q batchRequest) string {
	data, err := json.Marshal(q)
	if err != nil {
		panic(err) // it holds only strings
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// indexName is an entry in the workspace's list of jobs, newest first by name.
func indexName(j batch.Job) string {
	return fmt.Sprintf("%s%s-%s", indexPrefix(j.Workspace), j.Created.Format(indexTimeLayout), j.ID)
}

func indexPrefix(w ids.WorkspaceID) string {
	return "jobs_of/" + string(w) + "/"
}

// job reads a job of the caller's workspace.
func (h *Handler) job(c *call, id ids.JobID) (j batch.Job, v ids.Version, refused *refusal.Refusal) {
	if refused := needWorkspace(c); refused != nil {
		return batch.Job{}, 0, refused
	}
	o, err := h.store.Get(c.Context(), batch.ObjectName(id))
	if err != nil {
		return batch.Job{}, 0, platformRefusal(err, "batch")
	}
	j, err = batch.ParseJob(o.Value)
	if err != nil || j.Workspace != c.workspace {
		return batch.Job{}, 0, refusal.New(refusal.NotFound, 0, "no such batch")
	}
	return j, o.Version, nil
}

func (h *Handler) showBatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	j, _, refused := h.job(c, ids.JobID(c.PathValue("batch")))
	if refused != nil {
		return refused
	}
	if !j.State.Final() {
		if p, known := h.nudger.Progress(c.Context(), j.ID); known {
			j.Completed, j.Failed = p.Completed, p.Failed
		}
	}
	writeJSON(w, http.StatusOK, batchOf(j))
	return nil
}

// cancelBatch asks for the job's end in its object, where every owner finds it.
func (h *Handler) cancelBatch(w http.ResponseWriter, c *call) *refusal.Refusal {
	id := ids.JobID(c.PathValue("batch"))
	for range cancelTries {
		j, version, refused := h.job(c, id)
		if refused != nil {
			return refused
		}
		if j.State != batch.Open {
			return h.cancelled(w, c, j)
		}
		j.State, j.CancelAsked = batch.Cancelling, time.Now().UTC()
		_, err := h.store.Update(c.Context(), batch.ObjectName(id), version, j.Marshal())
		if errors.Is(err, platform.ErrConflict) {
			continue
		}
		if err != nil {
			return platformRefusal(err, "batch")
		}
		h.timeline.Record(timeline.Event{Kind: timeline.JobCancelled, Job: id, Workspace: j.Workspace, Request: c.id})
		return h.cancelled(w, c, j)
	}
	return refusal.New(refusal.Overloaded, time.Second, "the batch is changing; try again")
}

// cancelled tells the owner, by a message and by a change of the job's marker.
func (h *Handler) cancelled(w http.ResponseWriter, c *call, j batch.Job) *refusal.Refusal {
	if j.State == batch.Cancelling {
		name := batch.MarkerName(j.ID, h.shards)
		o, err := h.store.Get(c.Context(), name)
		if err == nil {
			_, err = h.store.Update(c.Context(), name, o.Version, []byte(j.State))
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return platformRefusal(err, "batch")
		}
		h.nudger.JobChanged(c.Context(), j.ID)
	}
	writeJSON(w, http.StatusOK, batchOf(j))
	return nil
}

func (h *Handler) listBatches(w http.ResponseWriter, c *call) *refusal.Refusal {
	if refused := needWorkspace(c); refused != nil {
		return refused
	}
	limit := defaultListed
	if text := c.FormValue("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxListed {
			return refusal.New(refusal.BadRequest, 0, "limit must be from 1 to %d", maxListed)
		}
		limit = n
	}
	l, err := h.store.List(c.Context(), indexPrefix(c.workspace), false)
	if err != nil {
		return platformRefusal(err, "batch")
	}
	list := []batchBody{}
	seen := map[ids.JobID]bool{}
	for i := len(l.Objects) - 1; i >= 0 && len(list) < limit; i-- {
		name := l.Objects[i].Name
		id := ids.JobID(name[len(indexPrefix(c.workspace))+len(indexTimeLayout)+1:])
		j, _, refused := h.job(c, id)
		if refused != nil || seen[id] {
			continue
		}
		seen[id] = true
		list = append(list, batchOf(j))
	}
	writeJSON(w, http.StatusOK, struct {
		Object  string      `json:"object"`
		Data    []batchBody `json:"data"`
		HasMore bool        `json:"has_more"`
	}{"list", list, len(list) == limit && len(l.Objects) > limit})
	return nil
}
