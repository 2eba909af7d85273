// Package platform is a small stand-in for the platform's object API.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	api "verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/platform/memory"
)

const maxBodyBytes = 2 << 20

// Server serves an object API from memory and does as it is told by /control.
type Server struct {
	store  *memory.Store
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	faults Faults
	calls  map[string]int
	hosts  map[ids.BackendID]backend.Server
}

// Option changes how a server is built.
type Option func(*Server)

// WithLimits sets the calls a second that are served; more get 429.
func WithLimits(writes, reads float64) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), int(writes))
		s.reads = rate.NewLimiter(rate.Limit(reads), int(reads))
	}
}

// NewServer returns a server with an empty store.
func NewServer(opts ...Option) *Server {
	s := &Server{
		store:  memory.New(),
		writes: rate.NewLimiter(rate.Inf, 0),
		reads:  rate.NewLimiter(rate.Inf, 0),
		calls:  map[string]int{},
		hosts:  map[ids.BackendID]backend.Server{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the API and the control pages.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name...}", s.guard("get", s.get))
	mux.HandleFunc("PUT /v1/objects/{name...}", s.guard("write", s.put))
	mux.HandleFunc("DELETE /v1/objects/{name...}", s.guard("delete", s.remove))
	mux.HandleFunc("GET /v1/list", s.guard("list", s.list))
	mux.HandleFunc("GET /v1/watch", s.guard("watch", s.watch))
	mux.HandleFunc("GET /v1/hosts", s.guard("hosts", s.listHosts))
	mux.HandleFunc("PUT /control/faults", s.setFaults)
	mux.HandleFunc("PUT /control/hosts/{id}", s.putHost)
	mux.HandleFunc("DELETE /control/hosts/{id}", s.removeHost)
	mux.HandleFunc("GET /control/calls", s.showCalls)
	return mux
}

// guard counts a call against the limits and applies the faults.
func (s *Server) guard(op string, next http.HandlerFunc) http.HandlerFunc {
	limiter := s.reads
	isWrite := op == "write" || op == "delete"
	if isWrite {
		limiter = s.writes
	}
	return func(w http.ResponseWriter, r *http.Request) {
		faults := s.count(op)
		if faults.Slow > 0 {
			sleep(r.Context(), faults.Slow)
		}
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !limiter.Allow() {
			http.Error(w, "over the rate limit", http.StatusTooManyRequests)
			return
		}
		if isWrite && s.takeLoss() {
			next(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Server) count(op string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op]++
	return s.faults
}

func (s *Server) takeLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.store.Get(r.Context(), r.PathValue("name"))
	reply(w, o, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "value can't be read", http.StatusBadRequest)
		return
	}
	v, err := s.store.Put(r.PathValue("name"), number(r, "if_version"), value)
	reply(w, struct {
		Version ids.Version `json:"version"`
	}{v}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	err := s.store.Delete(r.Context(), r.PathValue("name"), number(r, "if_version"))
	reply(w, struct{}{}, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	l, err := s.store.List(r.Context(), r.FormValue("prefix"), r.FormValue("values") == "true")
	reply(w, l, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	wait := time.Duration(number(r, "wait_ms")) * time.Millisecond
	l, err := s.store.Watch(r.Context(), r.FormValue("prefix"), number(r, "after"), wait)
	reply(w, l, err)
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	l, err := s.store.Hosts(r.Context(), number(r, "after"))
	reply(w, l, err)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.store.SetDown(f.Down)
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var b backend.Server
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.hosts[b.ID] = b
	s.mu.Unlock()
	s.publishHosts()
}

func (s *Server) removeHost(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delete(s.hosts, ids.BackendID(r.PathValue("id")))
	s.mu.Unlock()
	s.publishHosts()
}

// publishHosts makes the list of this moment visible after the lag.
func (s *Server) publishHosts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]backend.Server, 0, len(s.hosts))
	for _, b := range s.hosts {
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y backend.Server) int { return cmp.Compare(x.ID, y.ID) })
	if s.faults.HostLag == 0 {
		s.store.SetHosts(list)
		return
	}
	time.AfterFunc(s.faults.HostLag, func() { s.store.SetHosts(list) })
}

func (s *Server) showCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.calls, nil)
}

func reply(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // the caller has gone if this fails
	case errors.Is(err, api.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, api.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, api.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func number(r *http.Request, name string) ids.Version {
	n, _ := strconv.ParseUint(r.FormValue(name), 10, 64) // absent stands for 0
	return ids.Version(n)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// discard takes an answer that is to be lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
