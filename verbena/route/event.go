package route

import (
	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
)

// Event is an input to the table.
type Event interface{ isEvent() }

// Listed reports a newer host list.
type Listed struct{ Servers []backend.Server }

// Finished reports the end of a request that Pick counted as running.
type Finished struct {
	Backend ids.BackendID
	Outcome Outcome
	Suspect bool
}

// LoadReported gives the number of running requests that a server reports itself.
type LoadReported struct {
	Backend ids.BackendID
	Running int
}

// OnlineReported gives the number of online requests (callers' requests, not batch items) that all hosts together run at
// a server.
type OnlineReported struct {
	Backend ids.BackendID
	Online  int
}

// LeavingReported reports that a server refused work from this host or a peer because it is leaving.
type LeavingReported struct{ Backend ids.BackendID }

func (Listed) isEvent()          {}
func (Finished) isEvent()        {}
func (LoadReported) isEvent()    {}
func (LeavingReported) isEvent() {}
func (OnlineReported) isEvent()  {}

// Outcome is how a request ended at a server.
type Outcome int

// The outcomes of a request.
const (
	// OK is any complete answer.
	OK Outcome = iota
	// Failed is a failure of the server.
	Failed
	// Abandoned is a request that the caller gave up.
	Abandoned
)

// Change is a server's change of state, for the timeline.
type Change struct {
	Backend ids.BackendID
	Kind    ChangeKind
}

// ChangeKind names a server's change of state.
type ChangeKind int

// The changes of state.
const (
	// Failing is the first failure after successes.
	Failing ChangeKind = iota
	// Recovered is the first success after failures.
	Recovered
	// Leaving is the first report that the server is leaving.
	Leaving
)
