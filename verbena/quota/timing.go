package quota

import "time"

// Timing sets how long grants and shares last; all hosts must agree.
type Timing struct {
	// TTL is how long a host may spend a grant, from when it asked.
	GrantTTL time.Duration
	// ShareTTL is how long a host may use a share, from when it asked.
	ShareTTL time.Duration
	// Transit is longer than an ask can be on its way before it is answered.
	MaxTransit time.Duration
	// Margin is added by the owner, for hosts whose clocks run slower.
	Margin time.Duration
}
