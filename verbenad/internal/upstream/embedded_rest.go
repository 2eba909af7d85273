package upstream

import "verbenaledge.example/verbena/completion"

// embeddedTailBytes is how much of a body is searched again together with what follows it. The head of a late response is
// shorter.
const embeddedTailBytes = 4 << 10

// restReader reads the rest of a response's body.
type restReader struct {
	response *Response
	// tail is the end of what has been read, at most embeddedTailBytes between two reads.
	tail []byte
}

// Rest returns the body after its beginning. It is broken off with ErrRequestIDMismatch, and before its end, if it seems to
// contain another response.
func (r *Response) Rest(beginning []byte) completion.Body {
	e := &restReader{response: r}
	e.keepTail(beginning)
	return e
}

func (e *restReader) ReadBody(p []byte) (n int, end completion.End) {
	n, end = e.response.ReadBody(p)
	e.tail = append(e.tail, p[:n]...)
	if e.response.HasEmbeddedResponse(e.tail) {
		return 0, completion.BrokenOff{Err: ErrRequestIDMismatch}
	}
	e.keepTail(e.tail)
	return n, end
}

func (e *restReader) keepTail(b []byte) {
	e.tail = append(e.tail[:0], b[max(0, len(b)-embeddedTailBytes):]...)
}
