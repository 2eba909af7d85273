// Package caller speaks to callers: completions, files, batches, models and
// plain services over HTTP.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/control"
	"verbenaledge.example/verbenad/internal/metric"
)

// Limits bounds what callers may send.
type Limits struct {
	BodyBytes  int
	FileBytes  int
	Concurrent int
}

// Nudger speaks to the owners of jobs.
type Nudger interface {
	// JobChanged tells the owner that the job's object has changed.
	JobChanged(ctx context.Context, j ids.JobID)
	// Progress asks the owner how far an open job is.
	Progress(ctx context.Context, j ids.JobID) (p peer.Progress, known bool)
}

// Handler serves callers.
type Handler struct {
	loop     *control.Loop
	runner   *backend.Runner
	store    platform.Store
	timeline *timeline.Recorder
	nudger   Nudger
	limits   Limits
	shards   int
	running  atomic.Int64
	claims   *claims
}

// Option changes how a handler is built.
type Option func(*Handler)

// WithLimits sets what callers may send.
func WithLimits(l Limits) Option {
	return func(h *Handler) { h.limits = l }
}

// WithTimeline records changes of state.
func WithTimeline(r *timeline.Recorder) Option {
	return func(h *Handler) { h.timeline = r }
}

// NewHandler returns a handler of a deployment with a number of shards.
func NewHandler(l *control.Loop, r *backend.Runner, s platform.Store, n Nudger, shards int, opts ...Option) *Handler {
	h := &Handler{
		loop: l, runner: r, store: s, nudger: n, shards: shards,
		limits: Limits{BodyBytes: 1 << 20, FileBytes: 64 << 20, Concurrent: 4096},
	}
	for _, o := range opts {
		o(h)
	}
	h.claims = &claims{store: s, loop: l, runner: r, timeline: h.timeline}
	return h
}

// Routes returns the pages for callers.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.serve(h.complete))
	mux.HandleFunc("POST /v1/completions", h.serve(h.complete))
	mux.HandleFunc("GET /v1/models", h.serve(h.listModels))
	mux.HandleFunc("GET /v1/models/{model}", h.serve(h.showModel))
	mux.HandleFunc("POST /v1/files", h.serve(h.createFile))
	mux.HandleFunc("GET /v1/files/{file}", h.serve(h.showFile))
	mux.HandleFunc("GET /v1/files/{file}/content", h.serve(h.fileContent))
	mux.HandleFunc("POST /v1/batches", h.serve(h.createBatch))
	mux.HandleFunc("GET /v1/batches", h.serve(h.listBatches))
	mux.HandleFunc("GET /v1/batches/{batch}", h.serve(h.showBatch))
	mux.HandleFunc("POST /v1/batches/{batch}/cancel", h.serve(h.cancelBatch))
	mux.HandleFunc("/services/{service}/{rest...}", h.serve(h.callService))
	mux.HandleFunc("/", h.serve(func(http.ResponseWriter, *call) *refusal.Refusal {
		return refusal.New(refusal.NotFound, 0, "no such page")
	}))
	return mux
}

// Running returns how many requests are being served.
func (h *Handler) Running() int {
	return int(h.running.Load())
}

// call is one request of a caller.
type call struct {
	*http.Request
	id        ids.RequestID
	key       string
	workspace ids.WorkspaceID
	body      []byte
}

// serve does what every page needs: count, name, identify, refuse.
func (h *Handler) serve(page func(http.ResponseWriter, *call) *refusal.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer h.running.Add(-1)
		c := &call{Request: r, id: newRequestID()}
		w.Header().Set(backend.HeaderRequestID, string(c.id))
		var refused *refusal.Refusal
		if int(h.running.Add(1)) > h.limits.Concurrent {
			refused = refusal.New(refusal.Overloaded, overloadPause, "this host serves %d requests already", h.limits.Concurrent)
		} else if refused = h.identify(c); refused == nil {
			refused = page(w, c)
		}
		if refused != nil {
			writeRefusal(w, refused)
			return
		}
		metric.RequestsAnswered.Inc()
	}
}

func newRequestID() ids.RequestID {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // never fails
	return ids.RequestID("req-" + hex.EncodeToString(raw))
}
