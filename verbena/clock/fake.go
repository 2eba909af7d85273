package clock

import (
	"sync"
	"time"
)

// Fake is a clock that moves only when told to. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a clock that stands at start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start}
}

// Now returns the time that the clock stands at.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
