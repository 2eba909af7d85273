// Package clocktest provides clocks for tests.
package clocktest

import (
	"sync/atomic"
	"time"
	"unsafe"
)

// Stepped returns a time as it would have been read if the time of day had been set ahead by whole seconds, or back if they are
// negative. Unlike with Add, its monotonic reading stays the same.
func Stepped(t time.Time, by time.Duration) time.Time {
	// The first word of a time with a monotonic reading holds the seconds of the time of day above 30 bits of nanoseconds.
	const nanosecondBits = 30
	first := (*uint64)(unsafe.Pointer(&t))
	*first += uint64(by/time.Second) << nanosecondBits
	return t
}

// SteppingClock is a system clock whose time of day a test sets. It is safe for concurrent use.
type SteppingClock struct{ by atomic.Int64 }

// Step sets by how many whole seconds the time of day is ahead, or behind if they are negative.
func (c *SteppingClock) Step(by time.Duration) { c.by.Store(int64(by)) }

// Now returns the current time.
func (c *SteppingClock) Now() time.Time { return Stepped(time.Now(), time.Duration(c.by.Load())) }
