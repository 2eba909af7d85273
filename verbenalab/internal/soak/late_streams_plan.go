package soak

import "time"

// LateStreamsPlan says which streams callers ask for while hosts stop.
type LateStreamsPlan struct {
	// Callers is the number of callers of each kind at each of the Stops.
	Callers, Stops int
	// Duration is how long a stream takes.
	Duration time.Duration
	// Hosts is the number of entry hosts that are stopped together.
	Hosts int
}

// connectionKind is how a caller has used its connection before it asks for a stream.
type connectionKind int

const (
	// openedBefore means that the connection was opened before the stop, and never used.
	openedBefore connectionKind = iota
	// openedDuring means that it was opened after the stop had begun, and never used.
	openedDuring
	// usedBefore means that it carried a stream before the stop.
	usedBefore
	// steadilyUsed means that it carries one stream after the other, until a response announces that it closes.
	steadilyUsed
	connectionKinds
)

// String returns the name that reports use.
func (k connectionKind) String() string {
	return [...]string{"opened before, unused", "opened during the stop", "used before, idle", "in steady use"}[k]
}

// The moments of a stop, from SIGTERM.
var (
	// openedBeforeWindow is how long before it connections are opened that aren't used before.
	openedBeforeWindow = TimeWindow{From: time.Second, To: 3 * time.Second}
	// openedDuringWindow is when connections are opened during the stop, while the host still listens, firstUseWindow how much later they are used.
	openedDuringWindow = TimeWindow{From: 100 * time.Millisecond, To: 2450 * time.Millisecond}
	firstUseWindow     = TimeWindow{To: 2 * time.Second}
	// sendWindow is when streams are asked for on the other connections.
	sendWindow = TimeWindow{To: 7400 * time.Millisecond}
)

const (
	// lateAfter is when a request counts as late: the users' platform accepts no cut of one that is sent later.
	lateAfter = 3 * time.Second
	// acceptedCutAfter is when a request that wasn't late may be cut, in the last sixth of a grace period of 8 s.
	acceptedCutAfter = 8 * time.Second * 5 / 6
	// settleTime is the time between the last use of connections and a stop.
	settleTime = 500 * time.Millisecond
	// lateStreamsRate is a rate limit far above the rate of these callers.
	lateStreamsRate = 100_000
	// lateStreamsSlots lets each server run all streams at once.
	lateStreamsSlots = 1000
)
