package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const (
	maxBodyBytes = 1 << 20
	// defaultMaxTokens is the length of an answer to a request that names none.
	defaultMaxTokens = 32
	maxTokensLimit   = 4096
	// faultAfterTokens is the number of tokens after which injectFault is called.
	faultAfterTokens = 3
	// keyPrefix begins each caller's API key.
	keyPrefix = "vk-"
)

// Behaviour describes how the stand-in answers, including the faults that it injects.
type Behaviour struct {
	// Leaving makes the server refuse new requests and report that it is leaving.
	Leaving bool `json:"leaving"`
	// WrongIDs is how many of the next answers carry another request's ID.
	WrongIDs int `json:"wrong_ids"`
	// FreezeReports keeps the reported load constant.
	FreezeReports bool `json:"freeze_reports"`
}

// Server serves an engine over HTTP.
type Server struct {
	engine *Engine
	id     string

	mu        sync.Mutex
	behaviour Behaviour
	// lifetime ends at each crash and is then replaced.
	lifetime     context.Context
	endLifetime  context.CancelFunc
	requestIDs   []string
	keyLeaks     int
	crashes      int
	highestFence uint64
	frozenLoad   *load
}

// NewServer returns a server for an engine.
func NewServer(id string, e *Engine) *Server {
	s := &Server{engine: e, id: id}
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	return s
}

// Handler returns the handler for the API and the control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("GET /events", s.handleEvents)
	mux.HandleFunc("POST /orders", s.handleOrder)
	mux.HandleFunc("GET /control/ledger", s.handleLedger)
	mux.HandleFunc("PUT /control/behaviour", s.handleBehaviour)
	return mux
}

type request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	text       string
	chat       bool
	resumeFrom int
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body can't be read", http.StatusBadRequest)
		return
	}
	if s.refuseIfLeaving(w) {
		return
	}
	q, err := parseRequest(r, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := s.recordRequest(r, body)
	if strings.Contains(q.text, "[[crash]]") {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(q.text, "[[fail]]") {
		http.Error(w, `{"error":{"message":"this prompt can't be answered"}}`, http.StatusInternalServerError)
		return
	}
	s.generate(w, r, q, id)
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, q request, id string) {
	s.mu.Lock()
	lifetime := s.lifetime
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(lifetime, cancel)
	defer stop()
	seq := s.engine.submit(ctx, q.text, q.resumeFrom, q.MaxTokens)
	running, waiting := s.engine.currentLoad()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Load-Running", strconv.Itoa(running+waiting))
	if q.Stream {
		s.writeStream(ctx, w, q, id, seq)
		return
	}
	s.writeWhole(ctx, w, q, id, seq)
}

func (s *Server) writeStream(ctx context.Context, w http.ResponseWriter, q request, id string, seq *sequence) {
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	head, tail := chunkParts(q, id)
	var line bytes.Buffer
	sent := 0
	for {
		index, more := s.nextToken(ctx, seq)
		if !more {
			break
		}
		line.Reset()
		line.WriteString(head)
		line.WriteString(tokenAt(q.text, index))
		line.WriteString(tail)
		if _, err := w.Write(line.Bytes()); err != nil {
			return
		}
		flusher.Flush()
		sent++
		if sent == faultAfterTokens {
			s.injectFault(ctx, q)
		}
	}
	_, _ = io.WriteString(w, finalChunk(q, id)) // fails only if the caller has disconnected
}

// injectFault executes the fault that a marker in the prompt asks for in the middle of the answer.
func (s *Server) injectFault(ctx context.Context, q request) {
	switch {
	case strings.Contains(q.text, "[[cut]]"), strings.Contains(q.text, "[[cut-once]]") && q.resumeFrom == 0:
		panic(http.ErrAbortHandler)
	case strings.Contains(q.text, "[[stall]]"):
		<-ctx.Done()
	}
}

func (s *Server) writeWhole(ctx context.Context, w http.ResponseWriter, q request, id string, seq *sequence) {
	var text strings.Builder
	n := 0
	for {
		index, more := s.nextToken(ctx, seq)
		if !more {
			break
		}
		text.WriteString(tokenAt(q.text, index))
		n++
		if n == faultAfterTokens {
			s.injectFault(ctx, q)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, wholeBody(q, id, text.String(), n)) // fails only if the caller has disconnected
}

// nextToken returns the index of the next token. It drops the connection if the sequence was cancelled.
func (s *Server) nextToken(ctx context.Context, seq *sequence) (index int, more bool) {
	select {
	case index, more = <-seq.tokens:
		return index, more
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func parseRequest(r *http.Request, body []byte) (q request, err error) {
	if err := json.Unmarshal(body, &q); err != nil {
		return request{}, fmt.Errorf("body is not JSON: %w", err)
	}
	q.chat = strings.HasPrefix(r.URL.Path, "/v1/chat/")
	q.text = q.Prompt
	for _, m := range q.Messages {
		q.text += m.Role + ":" + string(m.Content) + "\n"
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultMaxTokens
	}
	q.MaxTokens = min(q.MaxTokens, maxTokensLimit)
	q.resumeFrom, _ = strconv.Atoi(r.Header.Get("X-Resume-From")) // 0 without the header
	q.resumeFrom = min(max(q.resumeFrom, 0), q.MaxTokens-1)
	return q, nil
}

// recordRequest records the request in the ledger and returns the ID for the answer.
func (s *Server) recordRequest(r *http.Request, body []byte) (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id = r.Header.Get("X-Request-Id")
	s.requestIDs = append(s.requestIDs, id)
	if containsKey(r, body) {
		s.keyLeaks++
	}
	if s.behaviour.WrongIDs > 0 {
		s.behaviour.WrongIDs--
		return "of-another"
	}
	return id
}

// containsKey reports whether a request contains an API key, which must not reach a backend server.
func containsKey(r *http.Request, body []byte) bool {
	for _, vs := range r.Header {
		if strings.Contains(strings.Join(vs, " "), keyPrefix) {
			return true
		}
	}
	return strings.Contains(r.URL.String(), keyPrefix) || bytes.Contains(body, []byte(keyPrefix))
}

// refuseIfLeaving refuses a request if the server is leaving, and reports whether it did.
func (s *Server) refuseIfLeaving(w http.ResponseWriter) bool {
	s.mu.Lock()
	leaving := s.behaviour.Leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("X-Backend-State", "leaving")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	}
	return leaving
}

// crash drops all connections and the cache. ListenAndServe restarts the server later.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	s.endLifetime()
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.cache.clear()
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	l := s.engine.delayedLoad()
	s.mu.Lock()
	if s.behaviour.FreezeReports {
		if s.frozenLoad == nil {
			s.frozenLoad = &l
		}
		l = *s.frozenLoad
	}
	s.mu.Unlock()
	writeJSON(w, struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}{l.running, l.waiting})
}

// handleEvents returns the cache events after a sequence number, and omits every seventh to simulate losses.
func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	const omitEvery = 7
	after, _ := strconv.Atoi(r.FormValue("after")) // 0 without the parameter
	s.engine.mu.Lock()
	var list []cacheEvent
	for _, e := range s.engine.cache.events {
		if e.Seq > after && e.Seq%omitEvery != 0 {
			list = append(list, e)
		}
	}
	s.engine.mu.Unlock()
	writeJSON(w, list)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.config.Fenced && o.Fence < s.highestFence {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	s.highestFence = max(s.highestFence, o.Fence)
	writeJSON(w, struct{}{})
}

func (s *Server) handleLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, struct {
		ID      string   `json:"id"`
		Ran     []string `json:"ran"`
		Leaks   int      `json:"leaks"`
		Crashes int      `json:"crashes"`
		Stats   Stats    `json:"stats"`
	}{s.id, s.requestIDs, s.keyLeaks, s.crashes, s.engine.stats()})
}

func (s *Server) handleBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
	s.frozenLoad = nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
