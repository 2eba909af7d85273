package lease

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Event is what happens to a holder.
type Event interface{ isEvent() }

// Tick says that time has passed, and which hosts the lease is to name as guards.
type Tick struct{ Guards []ids.HostID }

// Promised says that a guard won't break the lease before a time, counted from
// before it was asked.
type Promised struct {
	Term  ids.Term
	Guard ids.HostID
	Until time.Time
}

// Written says that the platform has stored a lease that was sent at a time.
type Written struct {
	Term    ids.Term
	Version ids.Version
	Sent    time.Time
	Guards  []ids.HostID
}

// WriteFailed says that a write did not succeed. Lost is true when the platform
// answered that the lease is no longer there at the version held.
type WriteFailed struct {
	Term ids.Term
	Lost bool
}

// GiveUp says that the host is not to hold a lease for now.
type GiveUp struct{}

// Release says that the host is stopping.
type Release struct{}

func (Tick) isEvent()        {}
func (Promised) isEvent()    {}
func (Written) isEvent()     {}
func (WriteFailed) isEvent() {}
func (GiveUp) isEvent()      {}
func (Release) isEvent()     {}
