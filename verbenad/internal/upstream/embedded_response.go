package upstream

import (
	"bytes"
)

// statusLinePrefix begins a response's status line.
var statusLinePrefix = []byte("HTTP/1.1 ")

// HasEmbeddedResponse reports whether a body of this response contains another response. On a reused connection a late copy
// of an earlier response may arrive within the body, complete or cut off by the body's end. On a new connection this can
// happen only in a body that ends with the connection. docs/design/ends_of_responses.md says how a copy is told from text.
func (r *Response) HasEmbeddedResponse(body []byte) bool {
	found, _ := r.findEmbedded(body, true)
	return found
}

// BeginningHasEmbeddedResponse is HasEmbeddedResponse for a beginning of the body that Rest follows. A head that the
// beginning cuts off is left to Rest.
func (r *Response) BeginningHasEmbeddedResponse(beginning []byte) bool {
	found, _ := r.findEmbedded(beginning, false)
	return found
}

// findEmbedded reports whether bytes of the body contain another response; ended is set if the body ends with them. Otherwise
// the bytes from decided on may be the beginning of one.
func (r *Response) findEmbedded(body []byte, ended bool) (found bool, decided int) {
	if r.Framing() != FramedByConnection && !r.conn.reused {
		return false, len(body)
	}
	decided = len(body)
	p := headParser{body: body}
	for start := 0; ; start += len(statusLinePrefix) {
		next := bytes.Index(body[start:], statusLinePrefix)
		if next < 0 {
			return false, decided
		}
		start += next
		h := p.parse(start)
		switch {
		case r.isCopy(h, ended):
			return true, start
		case r.conn.reused && !ended && h.cutOff():
			decided = min(decided, start)
		}
	}
}

// isCopy reports whether a head belongs to another response. One that isn't complete is none before the body has ended,
// unless it has an id.
func (r *Response) isCopy(h head, ended bool) bool {
	info := r.protocol.ParseResponse(h.status, h.header)
	if h.end == headComplete && (info.ID != "" || info.NotExecuted) {
		return true
	}
	switch {
	case !r.conn.reused:
		return false
	case info.ID != "":
		return true // what follows may be the copy's own chunks, or bytes of this response
	case r.Framing() == FramedByChunks:
		return false // a copy that isn't in chunks breaks the framing
	}
	return ended && h.cutOff() || h.isInterim() // an interim response needs no id
}
