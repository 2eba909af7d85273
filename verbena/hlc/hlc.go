// Package hlc implements a hybrid logical clock: wall time that never runs behind a timestamp received from another
// process.
package hlc

import (
	"cmp"
	"fmt"
	"sync"

	"verbenaledge.example/verbena/clock"
)

// Timestamp orders events over all processes: by wall time in microseconds, then by a counter.
type Timestamp struct {
	Micros  int64  `cbor:"1,keyasint" json:"micros"`
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Compare orders timestamps, with results as in the cmp package.
func (t Timestamp) Compare(other Timestamp) int {
	if c := cmp.Compare(t.Micros, other.Micros); c != 0 {
		return c
	}
	return cmp.Compare(t.Counter, other.Counter)
}

// String formats the timestamp as "micros.counter".
func (t Timestamp) String() string {
	return fmt.Sprintf("%d.%d", t.Micros, t.Counter)
}

// Clock returns timestamps. It is safe for concurrent use.
type Clock struct {
	mu        sync.Mutex
	wallClock clock.Clock
	last      Timestamp
}

// New returns a clock that takes wall time from wallClock.
func New(wallClock clock.Clock) *Clock {
	return &Clock{wallClock: wallClock}
}

// Now returns a timestamp later than every one returned or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wallClock.Now().UnixMicro()
	if wall > c.last.Micros {
		c.last = Timestamp{Micros: wall}
		return c.last
	}
	c.last.Counter++
	return c.last
}

// Observe takes account of a timestamp from another process: later calls of Now return later ones.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Compare(c.last) > 0 {
		c.last = t
	}
}
