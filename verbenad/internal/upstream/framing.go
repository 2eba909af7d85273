package upstream

// Framing is how a response shows where its body ends.
type Framing int

// The ways in which the end of a body is shown. The end of the connection doesn't prove that the body is complete: a server
// that crashes may close its connection in the same way.
const (
	// NotFramed means that no response has arrived.
	NotFramed Framing = iota
	FramedByLength
	FramedByChunks
	FramedByConnection
)

// String returns the name that logs and metrics use.
func (f Framing) String() string {
	switch f {
	case NotFramed:
		return "none"
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByConnection:
		return "connection"
	}
	return "unknown"
}

// Framing returns how the response shows where its body ends.
func (r *Response) Framing() Framing {
	switch {
	case len(r.httpResponse.TransferEncoding) > 0:
		return FramedByChunks
	case r.httpResponse.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByConnection
}
