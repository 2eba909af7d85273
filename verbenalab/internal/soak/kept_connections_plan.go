package soak

import "time"

// KeptConnectionsPlan says how connections are used around each stop of a host.
type KeptConnectionsPlan struct {
	// Connections are used at each of the Stops.
	Connections, Stops int
	// Opened is when each connection is opened. Without it, they are open before the stop, and each has carried one request by then.
	Opened TimeWindow
	// Used is when each connection is used, once.
	Used TimeWindow
	// SlowFrom is when a request of slowServiceTime begins, which keeps the host from ending. Without it, there is none.
	SlowFrom time.Duration
}

func (p KeptConnectionsPlan) opensBeforeStop() bool { return p.Opened == TimeWindow{} }
