package callerconn

import (
	"net/http"
	"sync/atomic"
)

// closingWriter announces in the head of a response that its connection closes, if that is known when the head is written. The
// caller then sends its next request on another connection.
type closingWriter struct {
	http.ResponseWriter
	closing   *atomic.Bool
	headBegun bool
}

// WriteHeader writes the head of the response.
func (w *closingWriter) WriteHeader(status int) {
	if !w.headBegun && status >= http.StatusOK {
		w.headBegun = true
		if w.closing.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *closingWriter) Write(p []byte) (n int, err error) {
	if !w.headBegun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Flush sends what has been written, for handlers that stream.
func (w *closingWriter) Flush() {
	if !w.headBegun {
		w.WriteHeader(http.StatusOK)
	}
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap returns the writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
