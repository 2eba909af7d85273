package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// maxHead bounds the bytes of an answer's head and of the interim answers before it. Heads of model servers
// and plain services are a few kilobytes.
const maxHead = 64 << 10

// ErrLongHead is a head, or interim answers, without an end within what is read of it.
var ErrLongHead = errors.New("head of an answer is too long")

// headLimit reads from a connection, and while a head is read only so many bytes.
type headLimit struct {
	source io.Reader
	left   int
	on     bool
}

func (h *headLimit) Read(p []byte) (n int, err error) {
	if !h.on {
		return h.source.Read(p)
	}
	if h.left <= 0 {
		return 0, ErrLongHead
	}
	n, err = h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// readResponse skips interim answers. note sees the head of each answer.
func (k *conn) readResponse(method string, note func(*http.Response)) (response *http.Response, err error) {
	k.limit.left, k.limit.on = maxHead, true
	defer func() { k.limit.on = false }()
	for {
		response, err = http.ReadResponse(k.reader, &http.Request{Method: method})
		if err != nil && k.limit.left <= 0 {
			err = fmt.Errorf("%w: %w", ErrLongHead, err) // the parser may only have seen a line that is cut
		}
		if err != nil {
			return response, err
		}
		note(response)
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func newConn(n net.Conn) *conn {
	limit := &headLimit{source: n}
	return &conn{Conn: n, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer)}
}
