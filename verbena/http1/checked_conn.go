package http1

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

// maxHeadBytes limits the heads of a response, those of interim responses included.
const maxHeadBytes = 64 << 10

// checkedConn is a client's connection whose reads fail at a malformed head. It carries one call at a time.
type checkedConn struct {
	net.Conn

	mu sync.Mutex
	// inHead is set while the head of a response is expected or incomplete.
	inHead bool
	// head has what has arrived of the present head, headBytes is the size of those before it.
	head      []byte
	headBytes int
	check     HeadCheck
}

// NetConn returns the connection that is checked.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// expectResponse says that the next bytes begin a response.
func (c *checkedConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.head, c.headBytes, c.check = true, nil, 0, HeadCheck{}
}

// Read returns an error before the end of a malformed head has been read.
func (c *checkedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if malformed := c.checkHeads(p[:n]); malformed != nil {
		return min(n, 1), malformed // net/http repeats a call if not a byte was read
	}
	return n, err
}

// checkHeads checks bytes up to the end of the final response's head.
func (c *checkedConn) checkHeads(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return nil
	}
	c.head = append(c.head, b...)
	for {
		ended, err := c.check.Next(c.head)
		if err != nil {
			return err
		}
		if !ended && c.headBytes+len(c.head) > maxHeadBytes {
			return fmt.Errorf("%w: its head exceeds the limit", ErrMalformed)
		}
		if !ended {
			return nil
		}
		if c.check.Status() >= http.StatusOK {
			c.inHead, c.head = false, nil
			return nil
		}
		c.headBytes += c.check.read
		c.head, c.check = c.head[c.check.read:], HeadCheck{}
	}
}
