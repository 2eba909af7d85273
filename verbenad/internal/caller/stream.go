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
	lineBufferBytes = 4 << 10
	maxLineBytes    = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream forwards server-sent events to the caller, from one or more backend responses.
type stream struct {
	w               http.ResponseWriter
	flusher         http.Flusher
	startedAt       time.Time
	headerSent      bool
	tokensForwarded int
}

func newStream(w http.ResponseWriter) *stream {
	f, _ := w.(http.Flusher)
	return &stream{w: w, flusher: f, startedAt: time.Now()}
}

// forward copies events up to and including the [DONE] event. A response that ends without one returns a
// CallError, so that the runner resumes the stream after the tokens that have been forwarded.
func (s *stream) forward(r *backend.Response) (tokens int, callErr *backend.CallError) {
	if r.Status >= http.StatusBadRequest {
		return s.tokensForwarded, s.forwardError(r)
	}
	reader := bufio.NewReaderSize(r, lineBufferBytes)
	for {
		line, err := readLine(reader)
		if err != nil {
			return s.tokensForwarded, backend.AsCallError(err)
		}
		payload, isData := bytes.CutPrefix(line, dataPrefix)
		if isData && s.forwardEvent(bytes.TrimSpace(payload)) {
			return s.tokensForwarded, nil
		}
		if s.headerSent && reader.Buffered() == 0 {
			s.flusher.Flush()
		}
	}
}

func (s *stream) forwardEvent(payload []byte) (done bool) {
	s.writeHeader()
	_, _ = s.w.Write(append(append([]byte("data: "), payload...), '\n', '\n')) // the context is cancelled if the caller has disconnected
	if bytes.Equal(payload, doneMarker) {
		s.flusher.Flush()
		return true
	}
	if !bytes.Contains(payload, finishReasonMarker) {
		s.tokensForwarded++
		metric.TokensForwarded.Inc()
	}
	return false
}

// finishReasonMarker occurs in the event that ends a choice, which carries no token.
var finishReasonMarker = []byte(`"finish_reason":"`)

func (s *stream) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	metric.FirstToken.Update(time.Since(s.startedAt).Seconds())
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// forwardError forwards a 4xx response, by which the engine rejects the request itself.
func (s *stream) forwardError(r *backend.Response) *backend.CallError {
	if s.headerSent {
		return &backend.CallError{Kind: backend.ServerError, Status: r.Status, Reason: "the stream could not be resumed"}
	}
	_, callErr := forwardBuffered(s.w)(r)
	return callErr
}

// finish ends a stream that could not be completed. If nothing has been sent, it returns the refusal. Otherwise it
// sends an error event and aborts the connection, so that the stream doesn't look complete.
func (s *stream) finish(refused *refusal.Refusal) *refusal.Refusal {
	if refused == nil || !s.headerSent {
		return refused
	}
	metric.RequestRefused(string(refused.Code))
	data, err := json.Marshal(newErrorBody(refused))
	if err == nil {
		_, _ = s.w.Write(append(append([]byte("data: "), data...), '\n', '\n')) // the connection is aborted next
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
