// Package service is a stand-in for a backend server of a plain service whose requests have side effects. It records
// each request that ran, so that tests can find requests that ran twice.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const maxBodyBytes = 4 << 20

// Run is an entry of the ledger: one request that took effect.
type Run struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Behaviour describes how the stand-in answers, including the faults that it injects.
type Behaviour struct {
	// Delay passes before a request takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is how many of the next requests take effect but get no answer.
	LoseAnswers int `json:"lose_answers"`
	// WrongIDs is how many of the next answers carry another request's ID.
	WrongIDs int `json:"wrong_ids"`
	// Leaving makes the server refuse new requests and report that it is leaving.
	Leaving bool `json:"leaving"`
}

// Server serves requests and keeps a ledger of those that ran.
type Server struct {
	mu        sync.Mutex
	behaviour Behaviour
	ledger    []Run
	leaks     int
}

// NewServer returns a server with an empty ledger.
func NewServer() *Server {
	return &Server{}
}

// Handler returns the handler for the service and its control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ledger", s.showLedger)
	mux.HandleFunc("PUT /control/behaviour", s.setBehaviour)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	b := s.behaviour
	s.mu.Unlock()
	if b.Leaving {
		w.Header().Set("X-Backend-State", "leaving")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(b.Delay)
	loseAnswer, wrongID := s.record(r, string(body))
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	if wrongID {
		id = "of-another"
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Path string `json:"path"`
		Echo string `json:"echo"`
	}{r.URL.Path, string(body)}) // fails only if the caller has disconnected
}

// record adds a request to the ledger. It reports whether its answer is to be lost or to carry another request's ID.
func (s *Server) record(r *http.Request, body string) (loseAnswer, wrongID bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = append(s.ledger, Run{r.Header.Get("X-Request-Id"), r.Method, r.URL.RequestURI(), body})
	if containsKey(r, body) {
		s.leaks++
	}
	if s.behaviour.LoseAnswers > 0 {
		s.behaviour.LoseAnswers--
		loseAnswer = true
	}
	if s.behaviour.WrongIDs > 0 {
		s.behaviour.WrongIDs--
		wrongID = true
	}
	return loseAnswer, wrongID
}

// containsKey reports whether a header, the URL or the body of a request contains an API key.
func containsKey(r *http.Request, body string) bool {
	const keyPrefix = "vk-"
	for _, vs := range r.Header {
		for _, v := range vs {
			if strings.Contains(v, keyPrefix) {
				return true
			}
		}
	}
	return strings.Contains(r.URL.String(), keyPrefix) || strings.Contains(body, keyPrefix)
}

func (s *Server) showLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(struct {
		Runs  []Run `json:"runs"`
		Leaks int   `json:"leaks"`
	}{s.ledger, s.leaks}) // fails only if the caller has disconnected
}

func (s *Server) setBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}
