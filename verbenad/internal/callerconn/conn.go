package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
)

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	end atomic.Int32
}

// End returns how the connection ended, or Open.
func (c *Conn) End() End { return End(c.end.Load()) }

func (c *Conn) ended(by End) { c.end.CompareAndSwap(int32(Open), int32(by)) }

// Read reads from the connection, and notices its end.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
	case errors.Is(err, io.EOF):
		c.ended(EndedByCaller)
	default:
		c.ended(Broken)
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.ended(ClosedByHost)
	return c.Conn.Close()
}

// CloseWrite closes the direction to the caller, where the connection can.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets how the connection ends when it is closed, where it can.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
