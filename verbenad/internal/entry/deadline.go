package entry

import (
	"net/http"
	"time"

	"github.com/apex/log"
)

// finalResponseTime is how long after a request's deadline its final response may still be written.
const finalResponseTime = 2 * time.Second

// setReadDeadline lets reading the body fail at the request's deadline. The returned function clears the read deadline:
// reads after the body only detect whether the caller is still connected.
func (h *Handler) setReadDeadline(q *request) (reset func()) {
	control := http.NewResponseController(q.w)
	logDeadlineError(q, control.SetReadDeadline(time.Now().Add(q.deadline.Sub(h.clock.Now()))))
	return func() { logDeadlineError(q, control.SetReadDeadline(time.Time{})) }
}

// setWriteDeadline ends writes to a caller that doesn't read; such a caller takes up memory, and maybe a slot.
// The returned function clears the write deadline for the connection's next request.
func (h *Handler) setWriteDeadline(q *request, until time.Time) (reset func()) {
	control := http.NewResponseController(q.w)
	logDeadlineError(q, control.SetWriteDeadline(time.Now().Add(until.Sub(h.clock.Now())+finalResponseTime)))
	return func() { logDeadlineError(q, control.SetWriteDeadline(time.Time{})) }
}

func logDeadlineError(q *request, err error) {
	if err != nil {
		log.WithError(err).WithField("request_id", q.call.ID).Warn("cannot set a read or write deadline")
	}
}
