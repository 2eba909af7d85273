package quota

import "time"

// Timing holds the lifetimes of grants and shares. All hosts must use the same values.
type Timing struct {
	// GrantTTL is how long a host may spend a grant, counted from its request.
	GrantTTL time.Duration
	// ShareTTL is how long a host may use a share, counted from its request.
	ShareTTL time.Duration
	// MaxTransit is longer than a request can be in transit before it is answered.
	MaxTransit time.Duration
	// Margin is added to the lifetimes by the owner, for hosts whose clocks run slower.
	Margin time.Duration
}
