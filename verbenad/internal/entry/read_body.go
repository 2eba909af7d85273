package entry

import (
	"errors"
	"io"
	"time"

	"verbenaledge.example/verbena/callerguard"
)

const (
	// firstBodyBytes is how much memory a body of unknown or large size gets first. It doubles as the body arrives.
	firstBodyBytes = 8 << 10
	// displaceTime is how long a body waits for the memory of others that were ended in its favor, displaceInterval the time
	// between attempts.
	displaceTime     = 300 * time.Millisecond
	displaceInterval = 2 * time.Millisecond
)

// readUnfinished reads a body of at most limit bytes into memory that is reserved as it arrives. The capacity of the returned
// slice is what is reserved, also after an error.
func (h *Handler) readUnfinished(req *request, limit int64) (body []byte, err error) {
	most := limit + 1 // one more shows that the body is too long
	if length := req.httpRequest.ContentLength; length > 0 {
		most = length
	}
	entry := h.bodies.add(req.writer)
	defer func() {
		if h.bodies.remove(entry) {
			err = errDisplaced // also if the body is complete: its context ends with the read that detects that the caller leaves
		}
	}()
	for {
		if len(body) == cap(body) {
			if body, err = h.growBody(body, most, entry); err != nil {
				return body, err
			}
		}
		n, err := req.httpRequest.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		h.bodies.arrived(entry, n)
		switch {
		case int64(len(body)) > limit:
			return body, errTooLarge
		case err == io.EOF && req.httpRequest.ContentLength > int64(len(body)):
			return body, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) || err == nil && int64(len(body)) == req.httpRequest.ContentLength:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// growBody makes room for more bytes of a body of at most most bytes.
func (h *Handler) growBody(body []byte, most int64, entry *callerguard.Body) ([]byte, error) {
	size := int(min(most, int64(max(firstBodyBytes, 2*cap(body)))))
	if !h.reserveBody(int64(size), entry) {
		return body, errNoMemory
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	h.memory.release(int64(cap(body)))
	return larger, nil
}

// reserveBody reserves memory for a body that arrives. If it is short, the slowest bodies are ended.
func (h *Handler) reserveBody(n int64, entry *callerguard.Body) (ok bool) {
	for end := time.Now().Add(displaceTime); !h.memory.reserve(n); {
		if !h.bodies.displaceSlowest(entry) || time.Now().After(end) {
			return false
		}
		time.Sleep(displaceInterval)
	}
	return true
}
