// Package operator serves health checks, metrics and the operators' admin pages.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/control"
	"verbenaledge.example/verbenad/internal/metric"
)

// queryTimeout bounds a query to the control loop.
const queryTimeout = 2 * time.Second

// Handler serves health, metrics and the admin pages.
type Handler struct {
	loop            *control.Loop
	timeline        *timeline.Recorder
	token           string
	runningRequests func() int
}

// NewHandler returns a handler whose admin pages require the token.
func NewHandler(l *control.Loop, t *timeline.Recorder, token string, runningRequests func() int) *Handler {
	return &Handler{loop: l, timeline: t, token: token, runningRequests: runningRequests}
}

// Routes returns the HTTP handler of all pages.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metric.Write(w) })
	mux.HandleFunc("GET /admin/status", h.requireToken(h.serveStatus))
	mux.HandleFunc("GET /admin/timeline", h.requireToken(h.serveEvents))
	mux.HandleFunc("GET /admin/jobs", h.requireToken(h.serveJobs))
	return mux
}

func (h *Handler) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(h.token)) != 1 {
			http.Error(w, "the admin pages need the operators' token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// serveReady tells the load balancer whether to send requests to this host.
func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := h.loop.Snapshot()
	switch {
	case s.Draining:
		writeJSON(w, http.StatusServiceUnavailable, "draining")
	case !s.Ready:
		writeJSON(w, http.StatusServiceUnavailable, "no rules and keys yet")
	case s.Isolated:
		writeJSON(w, http.StatusServiceUnavailable, "isolated")
	default:
		writeJSON(w, http.StatusOK, "ready")
	}
}

// Status is a daemon's report of its own state.
type Status struct {
	Host     ids.HostID    `json:"host"`
	Ready    bool          `json:"ready"`
	Isolated bool          `json:"isolated"`
	Draining bool          `json:"draining"`
	Versions gossip.Digest `json:"versions"`
	Term     ids.Term      `json:"term"`
	Shards   []ids.ShardID `json:"shards"`
	Peers    int           `json:"peers"`
	Running  int           `json:"running"`
	Sizes    core.Sizes    `json:"sizes"`
}

func (h *Handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	s := h.loop.Snapshot()
	out := Status{
		Host: s.Lease.Host, Ready: s.Ready, Isolated: s.Isolated, Draining: s.Draining, Versions: s.Versions,
		Term: s.Lease.Term, Shards: s.Shards.Owned(s.Lease.Host, s.Lease.Term), Peers: len(s.Peers), Running: h.runningRequests(),
	}
	if err := h.query(r, func(c *core.Core) { out.Sizes = c.Sizes() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) serveEvents(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.timeline.Events(timeline.Filter{
		Host:      ids.HostID(r.FormValue("host")),
		Job:       ids.JobID(r.FormValue("job")),
		Request:   ids.RequestID(r.FormValue("request")),
		Workspace: ids.WorkspaceID(r.FormValue("workspace")),
	}))
}

// openJob is the progress of a job that is open on this host.
type openJob struct {
	ID        ids.JobID       `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Items     int             `json:"items"`
	Committed int             `json:"committed"`
	Running   int             `json:"running"`
	Failed    int             `json:"failed"`
}

func (h *Handler) serveJobs(w http.ResponseWriter, r *http.Request) {
	list := []openJob{}
	err := h.query(r, func(c *core.Core) {
		for _, p := range c.JobProgress() {
			list = append(list, openJob{p.Job.ID, p.Job.Workspace, p.Job.Items, p.Committed, p.Running, p.Failed})
		}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) query(r *http.Request, read func(c *core.Core)) error {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	return h.loop.Query(ctx, read)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
