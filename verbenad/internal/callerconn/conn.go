package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/callerguard"
)

// firstRequestTime is how long the first request of a connection is expected, and how long the rest of a head may take while the
// listener stops. Callers send at once.
const firstRequestTime = time.Second

// Conn is the connection of a caller. While it is idle, only the goroutine that reads it may close it: a read that was due
// returns data also after a close by another one, and the request would have no connection for its answer.
type Conn struct {
	net.Conn
	set *connections
	end atomic.Int32

	mu    sync.Mutex
	phase phase
	// endsAt is when the connection ends unless a request has arrived by then; zero means never.
	endsAt time.Time
	// readDeadline is the one that the server has set.
	readDeadline time.Time
	openedAt     time.Time
	// used is set once a request has begun. endsWhenUsed makes the connection end after its first one.
	used, endsWhenUsed bool
	// requests counts the requests that have begun.
	requests int

	// reader reads requests within the limits of a guard. It is nil without one.
	reader *requestReader
	// waitEnd is until when something has to arrive by the guard's limits; zero if nothing has to.
	waitEnd time.Time
	// evictionReason is set once the guard has made the connection end.
	evictionReason callerguard.Reason
}

func newConn(c net.Conn, s *connections, g *Guard) *Conn {
	conn := &Conn{Conn: c, set: s, openedAt: time.Now()}
	if g != nil {
		conn.reader = newRequestReader(conn, g)
		conn.awaitUntil(conn.openedAt.Add(g.limits.Load().IdleTimeout))
	}
	return conn
}

// End returns how the connection ended, or Open.
func (c *Conn) End() End { return End(c.end.Load()) }

// Use returns how the connection has been used so far.
func (c *Conn) Use() Use {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Use{OpenedAt: c.openedAt, Requests: c.requests}
}

func (c *Conn) ended(by End) { c.end.CompareAndSwap(int32(Open), int32(by)) }

// Read reads from the connection.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.reader != nil {
		return c.reader.Read(p)
	}
	return c.readArriving(p)
}

// readArriving reads what arrives, and notices the end of the connection.
func (c *Conn) readArriving(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsIdle() {
		n, err = c.readArrived(p)
	}
	if n > 0 {
		c.headBegins()
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

// endsIdle reports whether the connection ends because it is idle. It lifts the read deadline: one that has passed keeps a read
// from returning what has arrived.
func (c *Conn) endsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle || c.endsAt.IsZero() || time.Now().Before(c.endsAt) {
		return false
	}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// headBegins is called when a byte was read. The rest of the head follows at once, or the connection ends.
func (c *Conn) headBegins() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return
	}
	c.phase, c.used = head, true
	if c.reader != nil && c.evictionReason == "" {
		c.awaitUntil(time.Now().Add(c.reader.guard.limits.Load().HeaderTimeout))
	}
	if c.endsWhenUsed || !c.endsAt.IsZero() {
		c.endAt(time.Now().Add(firstRequestTime))
	}
}

// requestBegins is called when the head of a request was read. One that was read together with the request before it has had no
// read of its own.
func (c *Conn) requestBegins() {
	c.mu.Lock()
	c.requests++
	c.mu.Unlock()
	c.enter(active)
	if c.reader != nil {
		c.reader.guard.parsed(c.reader.member)
		c.limitAnswer()
	}
}

// becomeIdle is called when a response is complete.
func (c *Conn) becomeIdle() {
	if c.reader != nil {
		c.reader.idle()
	}
	c.enter(idle)
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	if p == idle && c.reader != nil && c.evictionReason == "" {
		c.awaitUntil(time.Now().Add(c.reader.guard.limits.Load().IdleTimeout))
	}
	switch {
	case c.endsAt.IsZero():
	case p == idle:
		c.endAt(time.Now())
	default:
		c.applyReadDeadline()
	}
}

// endWhenIdle makes the connection end as soon as it is idle. One that has a part of a head may still get its request, and a new
// one its first, until endUnused.
func (c *Conn) endWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.used:
		c.endsWhenUsed = true
	case c.phase == head:
		c.endAt(time.Now().Add(firstRequestTime))
	default:
		c.endAt(time.Now())
	}
}

// endUnused makes the connection end if no request has begun on it.
func (c *Conn) endUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		c.endAt(time.Now())
	}
}

// endAt is called with mu held.
func (c *Conn) endAt(t time.Time) {
	c.endsAt = t
	c.applyReadDeadline()
}

// SetReadDeadline sets the deadline of reads. That of a connection without a request is not later than its end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(c.currentDeadline())
}

// applyReadDeadline sets the deadline for the current phase. If that fails, so does the next read.
func (c *Conn) applyReadDeadline() { _ = c.Conn.SetReadDeadline(c.currentDeadline()) }

func (c *Conn) currentDeadline() time.Time {
	t := c.readDeadline
	if c.phase != active && !c.endsAt.IsZero() && (t.IsZero() || t.After(c.endsAt)) {
		t = c.endsAt
	}
	if !c.waitEnd.IsZero() && (t.IsZero() || t.After(c.waitEnd)) {
		t = c.waitEnd
	}
	return t
}

// state returns the phase, and whether the connection has carried a request.
func (c *Conn) state() (p phase, used bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.used
}

// expectsFirst reports whether the first request is expected.
func (c *Conn) expectsFirst(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.used && now.Sub(c.openedAt) < firstRequestTime
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.ended(ClosedByHost)
	c.set.remove(c)
	err := c.Conn.Close()
	if c.reader != nil {
		c.reader.guard.closed(c.reader.member)
	}
	return err
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
