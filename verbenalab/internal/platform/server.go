// Package platform is a stand-in for the platform as a process. It serves the platform's store with the host list, and
// control endpoints on which tests inject faults.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	api "verbenaledge.example/verbena/platform"
	hosts "verbenaledge.example/verbena/platform/memory"
)

// Server serves a store and injects the faults that are set under /control.
type Server struct {
	store   *memory.Store
	objects http.Handler
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu     sync.Mutex
	faults Faults
	calls  map[string]int
}

// Option configures a server.
type Option func(*Server)

// WithLimits limits the writes and reads per second. Calls beyond the limits get 429.
func WithLimits(writes, reads float64) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), int(writes))
		s.reads = rate.NewLimiter(rate.Limit(reads), int(reads))
	}
}

// NewServer returns a server for a store. The handler serves this store in the platform's protocol.
func NewServer(store *memory.Store, handler http.Handler, opts ...Option) *Server {
	s := &Server{
		store:   store,
		objects: handler,
		writes:  rate.NewLimiter(rate.Inf, 0),
		reads:   rate.NewLimiter(rate.Inf, 0),
		calls:   map[string]int{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the handler for the store and the control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serveObjects)
	mux.HandleFunc("PUT /control/faults", s.setFaults)
	mux.HandleFunc("PUT /control/hosts/{id}", s.putHost)
	mux.HandleFunc("DELETE /control/hosts/{id}", s.removeHost)
	mux.HandleFunc("GET /control/calls", s.showCalls)
	return mux
}

// serveObjects counts a call, delays it as Faults.Delay says, and forwards it to the store if the rate limit allows.
func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request) {
	limiter, op := s.writes, strings.ToLower(r.Method)
	if r.Method == http.MethodGet {
		limiter = s.reads
	}
	faults := s.countCall(op)
	if faults.Delay > 0 {
		sleep(r.Context(), faults.Delay)
	}
	if !limiter.Allow() {
		http.Error(w, "over the rate limit", http.StatusTooManyRequests)
		return
	}
	s.objects.ServeHTTP(w, r)
}

// countCall counts a call by its operation and returns the current faults.
func (s *Server) countCall(op string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op]++
	return s.faults
}

// storeFault returns the fault that the store injects into a call.
func (s *Server) storeFault(op memory.Op) memory.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Down:
		return memory.Refuse
	case s.faults.LoseAnswers > 0 && op.Kind != api.KindHosts && writeVerbs[op.Verb]:
		s.faults.LoseAnswers--
		return memory.LoseAnswer
	}
	return memory.None
}

// writeVerbs are the verbs whose answers can be lost.
var writeVerbs = map[string]bool{"create": true, "replace": true, "status": true, "delete": true}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.store.SetFault(s.storeFault)
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var b backend.Server
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.applyAfterLag(func(ctx context.Context) error { return hosts.PutHost(ctx, s.store, b) })
}

func (s *Server) removeHost(_ http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.applyAfterLag(func(ctx context.Context) error { return s.store.Delete(ctx, api.KindHosts, id, objects.Revision(0)) })
}

// changeTimeout bounds how long a change of the host list is retried while the store is down.
const changeTimeout = 30 * time.Second

// applyAfterLag applies a change of the host list after Faults.HostLag.
func (s *Server) applyAfterLag(change func(context.Context) error) {
	s.mu.Lock()
	lag := s.faults.HostLag
	s.mu.Unlock()
	apply := func() {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		for change(ctx) != nil && ctx.Err() == nil {
			sleep(ctx, 50*time.Millisecond) // Faults.Down is set
		}
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.calls) // fails only if the caller has disconnected
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
