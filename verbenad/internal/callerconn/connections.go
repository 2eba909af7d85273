// Package callerconn accepts the connections of callers, and tells which of them carry a request.
package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// FirstRequestTime is how long a new connection without a request counts as busy. Callers send at once.
const FirstRequestTime = time.Second

// Connections tracks the connections that carry a request, and the new ones on which a request is expected.
type Connections struct {
	mu     sync.Mutex
	active map[net.Conn]bool
	idle   map[net.Conn]bool
	unused map[net.Conn]time.Time
}

// Counts are the numbers of connections that carry a request, that have carried one, and that haven't yet.
type Counts struct{ Active, Idle, Unused int }

// NewConnections returns a set without connections.
func NewConnections() *Connections {
	return &Connections{active: make(map[net.Conn]bool), idle: make(map[net.Conn]bool), unused: make(map[net.Conn]time.Time)}
}

// StateChanged is the ConnState callback of the http.Server.
func (c *Connections) StateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, conn)
	delete(c.idle, conn)
	delete(c.unused, conn)
	switch state {
	case http.StateNew:
		c.unused[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	case http.StateIdle:
		c.idle[conn] = true
	case http.StateHijacked, http.StateClosed:
	}
}

// Counts returns the numbers of open connections.
func (c *Connections) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{Active: len(c.active), Idle: len(c.idle), Unused: len(c.unused)}
}

// Busy reports whether a request is in progress or expected on a new connection.
func (c *Connections) Busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.unused {
		if now.Sub(t) < FirstRequestTime {
			return true
		}
	}
	return len(c.active) > 0
}
