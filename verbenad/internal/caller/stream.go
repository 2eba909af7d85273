package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbenad/internal/backend"
	"verbenaledge.example/verbenad/internal/metric"
)

const (
	lineBuffer   = 4 << 10
	maxLineBytes = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// stream passes server-sent events on, over as many answers as it takes.
type stream struct {
	w       http.ResponseWriter
	flusher http.Flusher
	start   time.Time
	started bool
	tokens  int
}

func newStream(w http.ResponseWriter) *stream {
	f, _ := w.(http.Flusher)
	return &stream{w: w, flusher: f, start: time.Now()}
}

// pass copies events until the end mark. A stream without one is a fault, so
// that the runner resumes it after the tokens that have been passed on.
func (s *stream) pass(a *backend.Response) (tokens int, fault *backend.CallError) {
	if a.Status >= http.StatusBadRequest {
		return s.tokens, s.passError(a)
	}
	lines := bufio.NewReaderSize(a, lineBuffer)
	for {
		line, err := readLine(lines)
		if err != nil {
			return s.tokens, backend.AsCallError(err)
		}
		payload, isData := bytes.CutPrefix(line, dataPrefix)
		if isData && s.passEvent(bytes.TrimSpace(payload)) {
			return s.tokens, nil
		}
		if s.started && lines.Buffered() == 0 {
			s.flusher.Flush()
		}
	}
}

func (s *stream) passEvent(payload []byte) (done bool) {
	s.begin()
	_, _ = s.w.Write(append(append([]byte("data: "), payload...), '\n', '\n')) // a caller that has gone cancels the call
	if bytes.Equal(payload, doneMark) {
		s.flusher.Flush()
		return true
	}
	if !bytes.Contains(payload, finishMark) {
		s.tokens++
		metric.TokensForwarded.Inc()
	}
	return false
}

// finishMark stands in an event that ends a choice and carries no token.
var finishMark = []byte(`"finish_reason":"`)

func (s *stream) begin() {
	if s.started {
		return
	}
	s.started = true
	metric.FirstToken.Update(time.Since(s.start).Seconds())
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// passError passes an engine's refusal of the request itself.
func (s *stream) passError(a *backend.Response) *backend.CallError {
	if s.started {
		return &backend.CallError{Kind: backend.ServerError, Status: a.Status, Reason: "the stream could not be resumed"}
	}
	_, fault := passWhole(s.w)(a)
	return fault
}

// finish ends a stream that could not be passed on whole: by a plain refusal if
// nothing has been sent, else by an error event and a broken connection, so that
// it never looks whole.
func (s *stream) finish(refused *refusal.Refusal) *refusal.Refusal {
	if refused == nil || !s.started {
		return refused
	}
	metric.RequestRefused(string(refused.Code))
	data, err := json.Marshal(bodyOf(refused))
	if err == nil {
		_, _ = s.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // the connection is broken next
		s.flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}

func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(line) < maxLineBytes {
			continue
		}
		return bytes.TrimRight(line, "\r\n"), err
	}
}
