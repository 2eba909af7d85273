package callerconn

import (
	"slices"
	"sync"
	"time"
)

// Counts are the numbers of open connections: those that carry a request, that have carried one, and that haven't yet.
type Counts struct{ Active, Idle, Unused int }

// connections is the set of the open connections of a listener.
type connections struct {
	mu   sync.Mutex
	open map[*Conn]bool
}

func (s *connections) add(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = true
}

func (s *connections) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *connections) list() (all []*Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		all = append(all, c)
	}
	return all
}

func (s *connections) counts() (n Counts) {
	for _, c := range s.list() {
		switch p, used := c.state(); {
		case p != idle:
			n.Active++
		case used:
			n.Idle++
		default:
			n.Unused++
		}
	}
	return n
}

// busy reports whether a request is in progress, or expected on a new connection.
func (s *connections) busy(now time.Time) bool {
	return slices.ContainsFunc(s.list(), func(c *Conn) bool {
		p, _ := c.state()
		return p != idle || c.expectsFirst(now)
	})
}
