package callerconn

import (
	"time"

	"verbenaledge.example/verbena/callerguard"
)

// unhandledTime is how long a request may read and write until its handler sets deadlines of its own. net/http answers some requests
// without a handler, and reads their bodies.
const unhandledTime = 2 * time.Second

// awaitUntil sets until when something has to arrive; a zero time means that nothing has to. It is called with mu held.
func (c *Conn) awaitUntil(t time.Time) { c.waitEnd = t }

// limitHead applies the limit of the time for the head that has begun.
func (c *Conn) limitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyReadDeadline()
}

// awaitNothing is called when a head is whole.
func (c *Conn) awaitNothing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitUntil(time.Time{})
	c.applyReadDeadline()
}

// overtime reports whether the time of the guard's limits is over.
func (c *Conn) overtime() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.waitEnd.IsZero() && !time.Now().Before(c.waitEnd)
}

// evict makes the connection end, as others need its memory or descriptor.
func (c *Conn) evict(r callerguard.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictionReason = r
	c.awaitUntil(time.Unix(1, 0))
	c.applyReadDeadline()
}

// resumed is called when the guard takes the connection back.
func (c *Conn) resumed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictionReason = ""
}

// evictedFor returns why the connection was evicted, or nothing.
func (c *Conn) evictedFor() callerguard.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictionReason
}

// limitAnswer sets the first deadlines of a request. One without a body, or whose body has arrived, gets none for reads: these
// only detect that the caller leaves.
func (c *Conn) limitAnswer() {
	end := time.Now().Add(unhandledTime)
	_ = c.SetWriteDeadline(end) // fails only on a closed connection, as the write then does
	if c.reader.body.phase != bodyEnded {
		_ = c.SetReadDeadline(end) // as above
	}
}
