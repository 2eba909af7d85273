package lease

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Event is an input to a holder.
type Event interface{ isEvent() }

// Tick reports that time has passed, and which hosts the lease should name as guards.
type Tick struct{ Guards []ids.HostID }

// Promised reports a guard's promise not to break the lease before Until, which is counted from before the
// guard was asked.
type Promised struct {
	Term  ids.Term
	Guard ids.HostID
	Until time.Time
}

// Written reports that the platform has stored a lease, and when that write was sent.
type Written struct {
	Term    ids.Term
	Version ids.Version
	Sent    time.Time
	Guards  []ids.HostID
}

// WriteFailed reports that a write did not succeed. Lost is true if the platform answered that the lease no
// longer exists with the version held.
type WriteFailed struct {
	Term ids.Term
	Lost bool
}

// GiveUp asks the holder to end its term; a later tick starts a new one.
type GiveUp struct{}

// Release asks the holder to end its term for good because the host is stopping.
type Release struct{}

func (Tick) isEvent()        {}
func (Promised) isEvent()    {}
func (Written) isEvent()     {}
func (WriteFailed) isEvent() {}
func (GiveUp) isEvent()      {}
func (Release) isEvent()     {}
