package view

import (
	"sync"
	"time"

	"verbenaledge.example/verbena/directory"
)

// confirmation records when the store confirmed a host's objects.
type confirmation struct {
	mu sync.Mutex
	// at is the last time, since the one since which there was no gap of more than directory.MaxListAge.
	at, since time.Time
}

// add records a confirmation. Older ones than the last, and the zero time, change nothing.
func (c *confirmation) add(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.After(c.at) {
		return
	}
	if at.Sub(c.at) > directory.MaxListAge {
		c.since = at
	}
	c.at = at
}

func (c *confirmation) state(now time.Time) directory.ListState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return directory.ListState{Age: -1}
	}
	return directory.ListState{Age: now.Sub(c.at), CurrentFor: now.Sub(c.since)}
}
