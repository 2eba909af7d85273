package upstream

import "verbenaledge.example/verbena/completion"

// embeddedTailBytes is how much of a body is searched again together with what follows it. The head of a late response is
// shorter.
const embeddedTailBytes = 4 << 10

// restReader reads the rest of a response's body.
type restReader struct {
	response *Response
	// window is the end of what has been returned, then what has been read, of which the bytes up to decided may be returned.
	window            []byte
	returned, decided int
	// end is that of the body, nil until it has ended.
	end completion.End
}

// Rest returns the body after its beginning. It is broken off with ErrRequestIDMismatch, and before its end, if it contains
// another response. Bytes that may be the beginning of one are returned only once more have arrived.
func (r *Response) Rest(beginning []byte) completion.Body {
	e := &restReader{response: r}
	e.window = append(e.window, beginning[max(0, len(beginning)-embeddedTailBytes):]...)
	e.returned, e.decided = len(e.window), len(e.window)
	return e
}

func (e *restReader) ReadBody(p []byte) (n int, end completion.End) {
	for e.returned == e.decided {
		if e.end != nil {
			return 0, e.end
		}
		e.fill(p)
	}
	n = copy(p, e.window[e.returned:e.decided])
	e.returned += n
	if e.returned == len(e.window) {
		return n, e.end
	}
	return n, nil
}

// fill reads more of the body, by way of part, and searches it.
func (e *restReader) fill(part []byte) {
	if surplus := e.returned - embeddedTailBytes; surplus > 0 {
		e.window = append(e.window[:0], e.window[surplus:]...)
		e.returned -= surplus
	}
	n, end := e.response.ReadBody(part)
	e.window = append(e.window, part[:n]...)
	ended := false
	switch end.(type) {
	case nil, completion.BrokenOff:
	case completion.Whole, completion.Claimed:
		ended = true
	}
	found, decided := e.response.findEmbedded(e.window, ended)
	if found {
		end = completion.BrokenOff{Err: ErrRequestIDMismatch}
	}
	e.end, e.decided = end, max(e.returned, decided)
	if _, broken := end.(completion.BrokenOff); broken {
		e.window = e.window[:e.decided] // the rest may be another response's
	}
}
