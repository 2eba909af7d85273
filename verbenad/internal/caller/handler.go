// Package caller is the HTTP API for callers: completions, files, batches, models and plain services.
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

// Limits bounds request bodies, uploaded files and concurrent requests.
type Limits struct {
	MaxBodyBytes  int
	MaxFileBytes  int
	MaxConcurrent int
}

// OwnerClient calls the hosts that own jobs.
type OwnerClient interface {
	// JobChanged notifies the owner that the stored job has changed.
	JobChanged(ctx context.Context, j ids.JobID)
	// Progress returns the owner's progress of an open job; known is false if the owner has none or can't be reached.
	Progress(ctx context.Context, j ids.JobID) (p peer.Progress, known bool)
}

// Handler serves callers' requests.
type Handler struct {
	loop     *control.Loop
	runner   *backend.Runner
	store    platform.Store
	timeline *timeline.Recorder
	owners   OwnerClient
	limits   Limits
	shards   int
	inFlight atomic.Int64
	claims   *claims
}

// Option configures a Handler.
type Option func(*Handler)

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option {
	return func(h *Handler) { h.limits = l }
}

// WithTimeline sets the recorder of timeline events.
func WithTimeline(r *timeline.Recorder) Option {
	return func(h *Handler) { h.timeline = r }
}

// NewHandler returns a handler for a deployment with the given number of shards.
func NewHandler(l *control.Loop, r *backend.Runner, s platform.Store, owners OwnerClient, shards int, opts ...Option) *Handler {
	h := &Handler{
		loop: l, runner: r, store: s, owners: owners, shards: shards,
		limits: Limits{MaxBodyBytes: 1 << 20, MaxFileBytes: 64 << 20, MaxConcurrent: 4096},
	}
	for _, o := range opts {
		o(h)
	}
	h.claims = &claims{store: s, loop: l, runner: r, timeline: h.timeline}
	return h
}

// Routes returns the HTTP handler of all paths that callers use.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.wrap(h.complete))
	mux.HandleFunc("POST /v1/completions", h.wrap(h.complete))
	mux.HandleFunc("GET /v1/models", h.wrap(h.listModels))
	mux.HandleFunc("GET /v1/models/{model}", h.wrap(h.showModel))
	mux.HandleFunc("POST /v1/files", h.wrap(h.createFile))
	mux.HandleFunc("GET /v1/files/{file}", h.wrap(h.showFile))
	mux.HandleFunc("GET /v1/files/{file}/content", h.wrap(h.fileContent))
	mux.HandleFunc("POST /v1/batches", h.wrap(h.createBatch))
	mux.HandleFunc("GET /v1/batches", h.wrap(h.listBatches))
	mux.HandleFunc("GET /v1/batches/{batch}", h.wrap(h.showBatch))
	mux.HandleFunc("POST /v1/batches/{batch}/cancel", h.wrap(h.cancelBatch))
	mux.HandleFunc("/services/{service}/{rest...}", h.wrap(h.callService))
	mux.HandleFunc("/", h.wrap(func(http.ResponseWriter, *call) *refusal.Refusal {
		return refusal.New(refusal.NotFound, 0, "no such page")
	}))
	return mux
}

// InFlight returns the number of requests that are being served.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// call is one caller's request.
type call struct {
	*http.Request
	id        ids.RequestID
	key       string
	workspace ids.WorkspaceID
	body      []byte
}

// wrap returns an HTTP handler that limits concurrency, assigns a request ID, authenticates the caller and writes
// refusals.
func (h *Handler) wrap(handle func(http.ResponseWriter, *call) *refusal.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer h.inFlight.Add(-1)
		c := &call{Request: r, id: newRequestID()}
		w.Header().Set(backend.HeaderRequestID, string(c.id))
		var refused *refusal.Refusal
		if int(h.inFlight.Add(1)) > h.limits.MaxConcurrent {
			refused = refusal.New(refusal.Overloaded, overloadRetryAfter, "this host serves %d requests already", h.limits.MaxConcurrent)
		} else if refused = h.authenticate(c); refused == nil {
			refused = handle(w, c)
		}
		if refused != nil {
			writeRefusal(w, refused)
			return
		}
		metric.RequestsAnswered.Inc()
	}
}

func newRequestID() ids.RequestID {
	random := make([]byte, 12)
	_, _ = rand.Read(random) // never fails
	return ids.RequestID("req-" + hex.EncodeToString(random))
}
