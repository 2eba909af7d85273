package route

import (
	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
)

// Event is what the table learns.
type Event interface{ isEvent() }

// Listed brings a newer host list.
type Listed struct{ Servers []backend.Server }

// Finished ends a request that Pick had counted.
type Finished struct {
	Backend ids.BackendID
	Outcome Outcome
	Suspect bool
}

// LoadReported brings the number of requests that a server says it runs.
type LoadReported struct {
	Backend ids.BackendID
	Running int
}

// OnlineCounted brings the number of online requests that all hosts run at a server.
type OnlineReported struct {
	Backend ids.BackendID
	Online  int
}

// SaidLeaving says that a server refused work because it leaves, here or at a peer.
type LeavingReported struct{ Backend ids.BackendID }

func (Listed) isEvent()          {}
func (Finished) isEvent()        {}
func (LoadReported) isEvent()    {}
func (LeavingReported) isEvent() {}
func (OnlineReported) isEvent()  {}

// Outcome is how a request ended at a server.
type Outcome int

// OK is any whole answer, Failed a server's fault, Abandoned the caller's doing.
const (
	OK Outcome = iota
	Failed
	Abandoned
)

// Change is a server's change of state, for the time line.
type Change struct {
	Backend ids.BackendID
	Kind    ChangeKind
}

// ChangeKind names a server's change of state.
type ChangeKind int

// The changes.
const (
	Failing ChangeKind = iota
	Recovered
	Leaving
)
