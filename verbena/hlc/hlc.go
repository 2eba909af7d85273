// Package hlc is a hybrid logical clock: wall time that never runs behind what was heard.
package hlc

import (
	"cmp"
	"fmt"
	"sync"

	"verbenaledge.example/verbena/clock"
)

// Stamp orders events over all processes: wall time in microseconds, then a counter.
type Timestamp struct {
	Micros  int64  `cbor:"1,keyasint" json:"micros"`
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Compare orders stamps as the cmp package does.
func (s Timestamp) Compare(t Timestamp) int {
	if c := cmp.Compare(s.Micros, t.Micros); c != 0 {
		return c
	}
	return cmp.Compare(s.Counter, t.Counter)
}

// String shows both parts.
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%d", s.Micros, s.Counter)
}

// Clock gives stamps. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	source clock.Clock
	last   Timestamp
}

// New returns a clock over a source of wall time.
func New(source clock.Clock) *Clock {
	return &Clock{source: source}
}

// Now returns a stamp later than every one given or heard before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.source.Now().UnixMicro()
	if wall > c.last.Micros {
		c.last = Timestamp{Micros: wall}
		return c.last
	}
	c.last.Counter++
	return c.last
}

// Heard takes note of a stamp from another process.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}
