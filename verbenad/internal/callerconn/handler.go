package callerconn

import (
	"net/http"
	"sync/atomic"
)

// Handler passes requests on to another handler, and can make its responses announce that their connections close.
type Handler struct {
	next    http.Handler
	closing atomic.Bool
}

// NewHandler returns a handler that passes requests on to another one.
func NewHandler(next http.Handler) *Handler { return &Handler{next: next} }

// AnnounceClose makes all responses that have not begun announce that their connections close.
func (h *Handler) AnnounceClose() { h.closing.Store(true) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.next.ServeHTTP(&closingWriter{ResponseWriter: w, closing: &h.closing}, r)
}
