package http1

import (
	"bytes"
	"errors"
	"net/textproto"
)

// ErrFaultyFraming is returned for a response that states chunks with HTTP/1.0, which has none. Its end can't be found:
// net/http would ignore the chunks and read up to the end of the connection.
var ErrFaultyFraming = errors.New("response with HTTP/1.0 states a transfer encoding")

var (
	oldVersion = []byte("HTTP/1.0 ")
	lineEnd    = []byte("\n")
)

// HeadCheck checks the lines of a response's head as they arrive.
type HeadCheck struct {
	// read is the position after the last line that was checked.
	read int
	// chunksUnknown is set for HTTP/1.0.
	chunksUnknown bool
	status        int
}

// Status returns the status code, 0 before the status line has arrived.
func (h *HeadCheck) Status() int { return h.status }

// Next checks the lines of a head that have arrived since the last call. head begins with the first line and may go on after the
// head's end. ended is set if the head is complete. The error is ErrMalformed or ErrFaultyFraming.
func (h *HeadCheck) Next(head []byte) (ended bool, err error) {
	for {
		line, _, complete := bytes.Cut(head[h.read:], lineEnd)
		if !complete {
			return false, nil
		}
		first := h.read == 0
		h.read += len(line) + len(lineEnd)
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case first:
			if h.status, err = parseStatusLine(line); err != nil {
				return false, err
			}
			h.chunksUnknown = bytes.HasPrefix(line, oldVersion)
		case len(line) == 0:
			return true, nil
		case h.chunksUnknown && isTransferEncoding(line):
			return false, ErrFaultyFraming
		default:
			if err := checkFieldLine(line); err != nil {
				return false, err
			}
		}
	}
}

func isTransferEncoding(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	return ok && textproto.CanonicalMIMEHeaderKey(string(name)) == "Transfer-Encoding"
}
