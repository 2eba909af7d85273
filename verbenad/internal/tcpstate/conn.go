package tcpstate

import (
	"errors"
	"io"
	"net"
	"time"
)

// Conn is a connection whose reads return io.EOF only for an end that ClosedInOrder reports as orderly, and io.ErrUnexpectedEOF for
// any other end of its peer's direction.
type Conn struct {
	net.Conn
	// StallTimeout is how long an end waits for the receipt of what was written, after the peer has last received a part of it.
	StallTimeout time.Duration
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !ClosedInOrder(c.Conn, c.StallTimeout) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
