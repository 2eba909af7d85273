package directory

import "time"

// MaxListAge is the greatest age at which a list of servers counts as current. On hosts that place requests, the store
// confirms it every second.
const MaxListAge = 2 * time.Second

// ListState says how current a list of servers is.
type ListState struct {
	// Age is how long ago the store last confirmed the list, negative if it hasn't yet.
	Age time.Duration
	// CurrentFor is for how long it has been confirmed without a gap of more than MaxListAge.
	CurrentFor time.Duration
}

// Outdated reports whether the list may not show the present servers.
func (l ListState) Outdated() bool { return l.Age < 0 || l.Age > MaxListAge }
