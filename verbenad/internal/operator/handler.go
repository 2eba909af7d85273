// Package operator speaks to operators and to the balancer's checks.
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

const queryLimit = 2 * time.Second

// Handler serves health, metrics and the admin pages.
type Handler struct {
	loop     *control.Loop
	timeline *timeline.Recorder
	token    string
	running  func() int
}

// NewHandler returns a handler whose admin pages need the token.
func NewHandler(l *control.Loop, t *timeline.Recorder, token string, running func() int) *Handler {
	return &Handler{loop: l, timeline: t, token: token, running: running}
}

// Routes returns the pages.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metric.Write(w) })
	mux.HandleFunc("GET /admin/status", h.authenticated(h.status))
	mux.HandleFunc("GET /admin/timeline", h.authenticated(h.events))
	mux.HandleFunc("GET /admin/jobs", h.authenticated(h.jobs))
	return mux
}

func (h *Handler) authenticated(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(h.token)) != 1 {
			http.Error(w, "the admin pages need the operators' token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// ready tells the balancer whether to send requests here.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
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

// Status is a daemon's view of itself.
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

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	s := h.loop.Snapshot()
	out := Status{
		Host: s.Lease.Host, Ready: s.Ready, Isolated: s.Isolated, Draining: s.Draining, Versions: s.Versions,
		Term: s.Lease.Term, Shards: s.Shards.Owned(s.Lease.Host, s.Lease.Term), Peers: len(s.Peers), Running: h.running(),
	}
	if err := h.query(r, func(c *core.Core) { out.Sizes = c.Sizes() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) events(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.timeline.Events(timeline.Filter{
		Host:      ids.HostID(r.FormValue("host")),
		Job:       ids.JobID(r.FormValue("job")),
		Request:   ids.RequestID(r.FormValue("request")),
		Workspace: ids.WorkspaceID(r.FormValue("workspace")),
	}))
}

// jobProgress is a job that is open on this host.
type jobProgress struct {
	ID        ids.JobID       `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Items     int             `json:"items"`
	Committed int             `json:"committed"`
	Running   int             `json:"running"`
	Failed    int             `json:"failed"`
}

func (h *Handler) jobs(w http.ResponseWriter, r *http.Request) {
	list := []jobProgress{}
	err := h.query(r, func(c *core.Core) {
		for _, p := range c.Progress() {
			list = append(list, jobProgress{p.Job.ID, p.Job.Workspace, p.Job.Items, p.Committed, p.Running, p.Failed})
		}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) query(r *http.Request, f func(c *core.Core)) error {
	ctx, cancel := context.WithTimeout(r.Context(), queryLimit)
	defer cancel()
	return h.loop.Query(ctx, f)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone if this fails
}
