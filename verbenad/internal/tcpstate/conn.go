package tcpstate

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a connection whose reads return io.EOF only for an end that ClosedInOrder reports as orderly, and io.ErrUnexpectedEOF for
// any other end of its peer's direction.
type Conn struct {
	net.Conn

	// request is closed once the present request has been written, and nil if none is being written.
	request atomic.Pointer[chan struct{}]
}

// BeginRequest says that a request is being written until EndRequest is called. An end of the peer's direction waits for that.
func (c *Conn) BeginRequest() {
	request := make(chan struct{})
	c.request.Store(&request)
}

// EndRequest says that all of the request has been written, or that no more of it will be.
func (c *Conn) EndRequest() {
	if request := c.request.Swap(nil); request != nil {
		close(*request)
	}
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, io.EOF) && (!c.awaitRequest() || !ClosedInOrder(c.Conn)) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// awaitRequest waits until the request has been written, while the peer goes on receiving it.
func (c *Conn) awaitRequest() (written bool) {
	request := c.request.Load()
	if request == nil {
		return true
	}
	poll := time.NewTicker(acknowledgementPoll)
	defer poll.Stop()
	for receipt := NewReceipt(c.Conn); !receipt.Stalled(); {
		select {
		case <-*request:
			return true
		case <-poll.C:
		}
	}
	return false
}
