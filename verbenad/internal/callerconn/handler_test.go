package callerconn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStreamingHandlerCanFlush guards against a panic of handlers that flush by the interface of their writer, and against a flush
// that begins a response without the announcement.
func TestStreamingHandlerCanFlush(t *testing.T) {
	c := qt.New(t)
	h := NewHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		f, ok := w.(http.Flusher)
		c.Assert(ok, qt.IsTrue)
		f.Flush()
		_, _ = io.WriteString(w, "event")
	}))
	h.AnnounceClose()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	c.Assert(recorder.Flushed, qt.IsTrue)
	c.Assert(recorder.Result().Header.Get("Connection"), qt.Equals, "close")
	c.Assert(recorder.Body.String(), qt.Equals, "event")
}
