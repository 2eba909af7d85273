package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxHeadBytes limits a response's head together with the interim responses before it. The heads of model servers and
// plain services are a few kilobytes.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong is returned for a head that, with the interim responses before it, exceeds the limit.
var ErrHeadTooLong = errors.New("response head exceeds the limit")

// headLimitReader reads from a connection. While it is active, it reads no more than the remaining bytes.
type headLimitReader struct {
	source    io.Reader
	remaining int
	active    bool
	// failed is the error of a read, other than an end of the connection in order; nil if there was none.
	failed error
}

func (h *headLimitReader) Read(p []byte) (n int, err error) {
	if !h.active {
		return h.source.Read(p)
	}
	if h.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err = h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	if err != nil && !errors.Is(err, io.EOF) {
		h.failed = err
	}
	return n, err
}

// readResponse reads the head of the final response. It calls onHead for each head, also for those of interim responses.
func (c *conn) readResponse(method string, onHead func(*http.Response)) (response *http.Response, err error) {
	c.headLimit.remaining, c.headLimit.active = maxHeadBytes, true
	defer func() { c.headLimit.active = false }()
	for {
		if err = c.checkHead(); err == nil {
			response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		}
		if err != nil {
			return response, c.headLimit.cause(err)
		}
		onHead(response)
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// cause adds to the parser's error why no more was read: the parser may only have reported a line that is cut off.
func (h *headLimitReader) cause(err error) error {
	switch {
	case h.remaining <= 0:
		return fmt.Errorf("%w: %w", ErrHeadTooLong, err)
	case h.failed != nil && !errors.Is(err, h.failed):
		return fmt.Errorf("%w: %w", h.failed, err)
	}
	return err
}
