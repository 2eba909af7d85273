package entry

import (
	"sort"
	"sync"
	"time"

	"verbenaledge.example/verbena/dispatch"
)

const (
	// connectionAgeResolution is the time between two entries of connectionAges, which bounds their number.
	connectionAgeResolution = 100 * time.Millisecond
	// maxConnectionAge is the greatest age that is distinguished.
	maxConnectionAge = time.Minute
)

// connectionAges tells for how long, at least, a connection to a server has been open. Connections are numbered in the order of
// their opening, so that each was open before any response on one with a higher number.
type connectionAges struct {
	mu sync.Mutex
	// opened is in the order of numbers and times.
	opened []openedConnection
}

// openedConnection says that all connections up to a number were open at a time.
type openedConnection struct {
	number uint64
	at     time.Time
}

// observe records a response on a connection, and returns when the connection was open already.
func (c *connectionAges) observe(now time.Time, number uint64) (openAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.opened)
	switch {
	case n > 0 && number <= c.opened[n-1].number:
	case n > 0 && now.Sub(c.opened[n-1].at) < connectionAgeResolution:
		c.opened[n-1] = openedConnection{number, now}
	default:
		c.opened = append(c.opened, openedConnection{number, now})
	}
	for len(c.opened) > 1 && now.Sub(c.opened[1].at) >= maxConnectionAge {
		c.opened = c.opened[1:]
	}
	return c.opened[sort.Search(len(c.opened)-1, func(i int) bool { return c.opened[i].number >= number })].at
}

// measureConnectionAge records a response on a connection. end sets the connection's age in the outcome of its request.
func (h *Handler) measureConnectionAge(number uint64, o *dispatch.Outcome) (end func()) {
	openAt := h.connections.observe(h.clock.Now(), number)
	return func() { o.ConnectionAge = h.clock.Now().Sub(openAt) }
}
