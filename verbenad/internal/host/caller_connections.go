package host

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTime is how long a new connection without a request counts as busy. Callers send at once.
const firstRequestTime = time.Second

// callerConnections tracks the connections that carry a request, and the new ones on which a request is expected.
type callerConnections struct {
	mu     sync.Mutex
	active map[net.Conn]bool
	unused map[net.Conn]time.Time
}

func newCallerConnections() *callerConnections {
	return &callerConnections{active: make(map[net.Conn]bool), unused: make(map[net.Conn]time.Time)}
}

// stateChanged is the ConnState callback of the http.Server.
func (c *callerConnections) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, conn)
	delete(c.unused, conn)
	switch state {
	case http.StateNew:
		c.unused[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// busy reports whether a request is in progress or expected on a new connection.
func (c *callerConnections) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.unused {
		if now.Sub(t) < firstRequestTime {
			return true
		}
	}
	return len(c.active) > 0
}
