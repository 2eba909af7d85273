package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/apex/log"

	"verbenaledge.example/verbenad/internal/callerconn"
)

type connectionKey struct{}

// ConnContext gives the handler access to a caller's connection. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionEnd returns how the caller's connection ended, as far as this host has noticed.
func (r *request) connectionEnd() callerconn.End {
	c, ok := r.httpRequest.Context().Value(connectionKey{}).(interface{ End() callerconn.End })
	if !ok {
		return callerconn.Open
	}
	return c.End()
}

// connectionFields returns the log fields of the caller's connection: how it ended, its age when the request began, and the
// number of the request on it.
func (r *request) connectionFields() []logField {
	fields := append(make([]logField, 0, 3), logField{"connection", r.connectionEnd().String()})
	c, ok := r.httpRequest.Context().Value(connectionKey{}).(interface{ Use() callerconn.Use })
	if !ok {
		return fields
	}
	use := c.Use()
	return append(fields,
		logField{"connection_age_ms", max(0, r.start.Sub(use.OpenedAt)).Milliseconds()}, logField{"connection_requests", use.Requests})
}

// defaultLinger makes a connection end in order when it is closed.
const defaultLinger = -1

// resetIfBrokenOff makes the connection of a caller that can't read chunks end with a reset, also when this process ends:
// to such a caller an orderly close is the end of a whole response. completeResponse restores the orderly close.
func (h *Handler) resetIfBrokenOff(req *request) {
	if !req.httpRequest.ProtoAtLeast(1, 1) {
		req.resetsOnClose = req.setLinger(0)
	}
}

// completeResponse ends a response that was written completely.
func (h *Handler) completeResponse(req *request) {
	if req.resetsOnClose && http.NewResponseController(req.writer).Flush() == nil {
		req.setLinger(defaultLinger) // otherwise the end is lost, and the reset says so
	}
}

// setLinger sets how the connection ends when it is closed, and reports whether it could.
func (r *request) setLinger(seconds int) bool {
	c, ok := r.httpRequest.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return false
	}
	if err := c.SetLinger(seconds); err != nil {
		log.WithError(err).WithField("request_id", r.info.ID).Warn("cannot set how the connection ends")
		return false
	}
	return true
}
