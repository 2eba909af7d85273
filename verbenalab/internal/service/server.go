// Package service is a small stand-in for a plain service whose calls have an effect.
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

// Run is a line of the ledger: one call that took effect.
type Run struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// Behaviour is what the stand-in is told to do.
type Behaviour struct {
	// Delay passes before a call takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is how many of the next calls take effect and get no answer.
	LoseAnswers int `json:"lose_answers"`
	// WrongIDs is how many of the next answers bear another request's id.
	WrongIDs int `json:"wrong_ids"`
	// Leaving refuses new calls.
	Leaving bool `json:"leaving"`
}

// Server keeps a ledger of every run.
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

// Handler returns the service and its control pages.
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
	}{r.URL.Path, string(body)}) // the caller has gone if this fails
}

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

func containsKey(r *http.Request, body string) bool {
	const keyPrefix = "vk-"
	for _, values := range r.Header {
		for _, v := range values {
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
	}{s.ledger, s.leaks}) // the caller has gone if this fails
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
