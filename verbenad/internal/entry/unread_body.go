package entry

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// unreadBodyTime is how long the rest of the body of a refused request is read. Closing a connection that has unread bytes
	// resets it, and the caller may lose the answer.
	unreadBodyTime = 2 * time.Second
	// unreadBodyBytes is how much of it is read at most.
	unreadBodyBytes = 256 << 10
)

// refuseUnread refuses a request whose body isn't read whole with the given function, and ends its connection. net/http would read
// the rest of the body without a deadline before it writes the answer, and such a connection would never make room for others.
func (h *Handler) refuseUnread(req *request, refuse func()) {
	if req.httpRequest.ContentLength == 0 {
		refuse()
		return
	}
	control := http.NewResponseController(req.writer)
	logDeadlineError(req, control.SetReadDeadline(time.Now().Add(unreadBodyTime)))
	req.writer.Header().Set("Connection", "close")
	refuse()
	if control.Flush() != nil {
		return // the connection is broken
	}
	rest := h.bodies.add(req.writer)
	defer h.bodies.remove(rest)
	_, _ = io.CopyN(io.Discard, req.httpRequest.Body, unreadBodyBytes) // the connection ends either way
}

// skipBody reads the body of a request that needs none, and refuses the request if it doesn't arrive whole.
func (h *Handler) skipBody(req *request) (ok bool) {
	if req.httpRequest.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(req.writer)
	logDeadlineError(req, control.SetReadDeadline(time.Now().Add(unreadBodyTime)))
	body := h.bodies.add(req.writer)
	_, err := io.CopyN(io.Discard, req.httpRequest.Body, unreadBodyBytes)
	displaced := h.bodies.remove(body)
	switch {
	case displaced:
		err = errDisplaced
	case errors.Is(err, io.EOF):
		logDeadlineError(req, control.SetReadDeadline(time.Time{})) // further reads only detect that the caller leaves
		return true
	case err == nil:
		err = errTooLarge
	}
	h.refuseUnread(req, func() { h.refuseBody(req, err) })
	return false
}
