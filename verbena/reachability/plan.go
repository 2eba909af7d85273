package reachability

import "time"

// Plan says which connections to a server are attempted. The first one that is established is used.
type Plan struct {
	// Direct is set if a direct connection is attempted.
	Direct bool
	// Relay is set if a connection over another host is attempted, RelayDelay after the direct one begins, or as soon as
	// that one fails.
	Relay      bool
	RelayDelay time.Duration
}

// Failure is how a direct connection failed.
type Failure int

const (
	// Silent means that nothing came back: what was sent on open connections may be lost as well.
	Silent Failure = iota
	// Rejected means that the connection was refused or reset. Open connections may still work.
	Rejected
)

// String returns the name that logs use.
func (f Failure) String() string {
	if f == Rejected {
		return "rejected"
	}
	return "silent"
}

// CheckPlan returns how to connect to a server to learn whether the direct path is broken.
func CheckPlan() Plan { return Plan{Direct: true, Relay: true, RelayDelay: directHeadStart} }
