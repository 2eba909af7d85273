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
func (h *Handler) setReadDeadline(req *request) (reset func()) {
	control := http.NewResponseController(req.writer)
	logDeadlineError(req, control.SetReadDeadline(time.Now().Add(req.deadline.Sub(h.clock.Now()))))
	return func() { logDeadlineError(req, control.SetReadDeadline(time.Time{})) }
}

// setWriteDeadline ends writes to a caller that doesn't read; such a caller takes up memory, and maybe a slot.
// The returned function is called when the handler ends. A deadline stays for the buffered rest of the response, and net/http clears
// it for the connection's next request.
func (h *Handler) setWriteDeadline(req *request, until time.Time) (handlerEnds func()) {
	control := http.NewResponseController(req.writer)
	end := time.Now().Add(until.Sub(h.clock.Now()) + finalResponseTime)
	logDeadlineError(req, control.SetWriteDeadline(end))
	return func() {
		if last := time.Now().Add(finalResponseTime); last.After(end) {
			logDeadlineError(req, control.SetWriteDeadline(last))
		}
	}
}

func logDeadlineError(req *request, err error) {
	if err != nil {
		log.WithError(err).WithField("request_id", req.info.ID).Warn("cannot set a read or write deadline")
	}
}
