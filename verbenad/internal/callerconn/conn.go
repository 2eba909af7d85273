package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTime is how long a new connection may wait for its first request while its listener stops. Callers send at
	// once.
	firstRequestTime = time.Second
	// lastReadTime is how long an idle connection that is ended is read once more. What has arrived by then is served.
	lastReadTime = 5 * time.Millisecond
)

// Conn is the connection of a caller. While it is idle, only the goroutine that reads it may close it: a read that was due
// returns data also after a close by another one, and the request would have no connection for its answer.
type Conn struct {
	net.Conn
	set *connections
	end atomic.Int32

	mu sync.Mutex
	// idle is set until the first byte of the next request.
	idle bool
	// idleUntil is when the connection ends if it is idle by then; zero means never.
	idleUntil time.Time
	// readDeadline is the one that the server has set.
	readDeadline time.Time
	openedAt     time.Time
	used         bool
}

func newConn(c net.Conn, s *connections) *Conn {
	return &Conn{Conn: c, set: s, idle: true, openedAt: time.Now()}
}

// End returns how the connection ended, or Open.
func (c *Conn) End() End { return End(c.end.Load()) }

func (c *Conn) ended(by End) { c.end.CompareAndSwap(int32(Open), int32(by)) }

// Read reads from the connection, and notices its end.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendLastRead() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.requestBegins()
	}
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
	case errors.Is(err, io.EOF):
		c.ended(EndedByCaller)
	default:
		c.ended(Broken)
	}
	return n, err
}

// extendLastRead allows one more read of a connection that ends because it is idle. A deadline that has passed keeps a read from
// returning what has arrived.
func (c *Conn) extendLastRead() (extended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.idleUntil.IsZero() || time.Now().Before(c.idleUntil) {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
}

// requestBegins is called when a byte was read.
func (c *Conn) requestBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return
	}
	c.idle, c.used = false, true
	if !c.idleUntil.IsZero() {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // if it fails, so does the next read
	}
}

// becomeIdle is called when a response is complete.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	if !c.idleUntil.IsZero() {
		_ = c.applyReadDeadline() // if it fails, so does the next read
	}
}

// endWhenIdle makes the connection end as soon as it is idle. A new one may still get its first request.
func (c *Conn) endWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleUntil = time.Now()
	if !c.used {
		c.idleUntil = c.openedAt.Add(firstRequestTime)
	}
	_ = c.applyReadDeadline() // if it fails, so does the next read
}

// SetReadDeadline sets the deadline of reads. That of an idle connection is not later than the end of its idle time.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

func (c *Conn) applyReadDeadline() error {
	t := c.readDeadline
	if c.idle && !c.idleUntil.IsZero() && (t.IsZero() || t.After(c.idleUntil)) {
		t = c.idleUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// state returns whether the connection is idle, and whether it has carried a request.
func (c *Conn) state() (idle, used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, c.used
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.ended(ClosedByHost)
	c.set.remove(c)
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
