// Package dispatch decides which request runs on which backend server, which waits, which batch
// item gives way, and which request is refused. It has no input or output: events with their time
// go in, commands come out.
package dispatch

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// Ticket numbers the asks of one host.
type Ticket uint64

// Key names an ask among all hosts.
type Key struct {
	Host   ids.HostID `cbor:"1,keyasint"`
	Ticket Ticket     `cbor:"2,keyasint"`
}

// Class tells callers who wait from work that gives way to them.
type Class int

// The classes.
const (
	Online Class = iota
	Batch
)

// Ask is a request for a slot of a service. Times are durations from the moment at which it is
// sent, so that hosts need no common clock.
type SlotRequest struct {
	Ticket    Ticket          `cbor:"1,keyasint"`
	Service   ids.ServiceName `cbor:"2,keyasint"`
	Workspace ids.WorkspaceID `cbor:"3,keyasint,omitempty"`
	Class     Class           `cbor:"4,keyasint,omitempty"`
	Priority  int             `cbor:"5,keyasint,omitempty"`
	// Objective is what is left until the answer's start is late; for batch, until the job is due.
	Objective time.Duration `cbor:"6,keyasint"`
	// Patience is what is left until the caller leaves or the route's time-out.
	Remaining time.Duration `cbor:"7,keyasint"`
	// Whole is the patience that the route grants to a first attempt; a caller who comes back has less.
	RouteTimeout time.Duration `cbor:"8,keyasint,omitempty"`
	// Units is the expected size of the answer in events, for batch of what is left of it; 1 for a plain call, and
	// 0 if it isn't known.
	StreamEvents int `cbor:"9,keyasint"`
	// Metered asks are counted against the workspace's rate.
	Metered bool            `cbor:"10,keyasint,omitempty"`
	Exclude []ids.BackendID `cbor:"11,keyasint,omitempty"`
	Zone    ids.ZoneID      `cbor:"12,keyasint,omitempty"`
	// Again marks a further send of a request that has been admitted.
	Retry bool `cbor:"13,keyasint,omitempty"`
	// Fingerprint tells requests with the same caller, path and body; 0 means unknown.
	Fingerprint uint64 `cbor:"14,keyasint,omitempty"`
}

// Verdict is how a send to a server ended.
type Result int

// The verdicts.
const (
	// Served: the whole answer came.
	Served Result = iota
	// Left: the caller left, or batch gave way; it says nothing of the server.
	Cancelled
	// Full: the server refused without running the request.
	Full
	// Gone: another server is at the address.
	Gone
	// Unreachable: no connection.
	Unreachable
	// Broken: the answer was cut, garbled or didn't come.
	Broken
	// Failed: the server answered with a failure of its own.
	Failed
)

// String names the verdict for metrics.
func (v Result) String() string {
	switch v {
	case Served:
		return "served"
	case Cancelled:
		return "left"
	case Full:
		return "full"
	case Gone:
		return "gone"
	case Unreachable:
		return "unreachable"
	case Broken:
		return "broken"
	case Failed:
		return "failed"
	}
	return "unknown"
}

// Outcome tells the end of a send.
type Outcome struct {
	Ticket Ticket `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// Units and Elapsed give the server's speed; Units is 0 if it can't be told.
	StreamEvents int           `cbor:"3,keyasint,omitempty"`
	Elapsed      time.Duration `cbor:"4,keyasint,omitempty"`
	// First is the time from the send to the first byte of the answer.
	TimeToFirstByte time.Duration `cbor:"5,keyasint,omitempty"`
	// Running and Waiting are the server's own counts, if Counted.
	LoadReported bool `cbor:"6,keyasint,omitempty"`
	Running      int  `cbor:"7,keyasint,omitempty"`
	Waiting      int  `cbor:"8,keyasint,omitempty"`
}

// Held is a slot that a host holds when it meets a new dispatcher.
type HeldSlot struct {
	Request SlotRequest   `cbor:"1,keyasint"`
	Server  ids.BackendID `cbor:"2,keyasint"`
	// Running is for how long the slot has been held.
	HeldFor time.Duration `cbor:"3,keyasint,omitempty"`
}

// Event is something that happened.
type Event interface{ event() }

// Servers is the newest set of backend servers.
type ServersChanged struct {
	Servers map[ids.BackendID]directory.Server
}

// Rate is the rate of one workspace over all hosts.
type Rate struct {
	PerSecond float64
	Burst     float64
	// Start is what may be spent when counting starts, if Bounded; else a part of the burst is.
	InitialTokens    float64
	HasInitialTokens bool
}

// Rates is the newest set of rates; a workspace without one is unlimited. With Anew no more is in hand
// than when counting starts, whatever was earned before.
type RatesChanged struct {
	Rates       map[ids.WorkspaceID]Rate
	ResetTokens bool
}

// Peers tells among how many machines that don't hear of one another the slots are divided.
type IndependentHosts struct{ Count int }

// Asked is a request for a slot.
type SlotRequested struct {
	Host    ids.HostID
	Request SlotRequest
}

// Ended tells the outcome of a send, or takes a waiting ask back.
type SendEnded struct {
	Host    ids.HostID
	Outcome Outcome
}

// Joined is a host that connects, with the slots that it holds.
type HostConnected struct {
	Host ids.HostID
	Held []HeldSlot
	// Entry tells that the host takes callers, Leaving that it will soon take none.
	AcceptsCallers bool
	Leaving        bool
	// Entries is how many hosts take callers, as the host was told before; 0 means that it wasn't.
	EntryHosts int
	// Used is what it was admitted a second lately.
	AdmittedPerSecond map[ids.WorkspaceID]float64
	// Elsewhere is how many requests others admitted for it lately.
	AdmittedElsewhere map[ids.WorkspaceID]int
}

// Disconnected is a host whose connection ended.
type HostDisconnected struct {
	Host ids.HostID
	// Silent tells that nothing was heard of it any more; else it closed the connection.
	Silent bool
}

// Leaving is a host that will soon take no callers.
type HostLeaving struct{ Host ids.HostID }

// Standby tells whether the machine places requests only for hosts that can't reach the dispatcher. Entries
// is how many hosts take callers, as the dispatcher said last.
type StandbyChanged struct {
	On         bool
	EntryHosts int
}

// LeaseUncertain tells whether the machine's host may not be the only one that dispatches.
type LeaseUncertain struct{ Uncertain bool }

// Tick is the passing of time.
type Tick struct{}

func (ServersChanged) event()   {}
func (RatesChanged) event()     {}
func (IndependentHosts) event() {}
func (SlotRequested) event()    {}
func (SendEnded) event()        {}
func (HostConnected) event()    {}
func (HostDisconnected) event() {}
func (HostLeaving) event()      {}
func (StandbyChanged) event()   {}
func (LeaseUncertain) event()   {}
func (Tick) event()             {}

// Command is something to tell a host.
type Command interface{ command() }

// Inputs are what a decision on an ask went by, for logs.
type Inputs struct {
	// Free and Slots count the slots of the service's servers that can take requests.
	Free  int `cbor:"1,keyasint,omitempty"`
	Slots int `cbor:"2,keyasint,omitempty"`
	// Queue counts the callers' requests that wait, Batch the slots that batch holds.
	Queue int `cbor:"3,keyasint,omitempty"`
	Batch int `cbor:"4,keyasint,omitempty"`
}

// Grant gives an ask a slot.
type Grant struct {
	Key    Key
	Server directory.Server
	// Waited is how long the ask waited.
	Waited time.Duration
	Inputs Inputs
}

// Refuse turns an ask away.
type Refuse struct {
	Key    Key
	Reason Reason
	// Later is when the caller should come back.
	RetryAfter time.Duration
	Inputs     Inputs
}

// Wait tells that an ask waits for a slot.
type Wait struct{ Key Key }

// Yield takes a slot back from a batch item.
type Yield struct{ Key Key }

func (Grant) command()  {}
func (Refuse) command() {}
func (Yield) command()  {}
func (Wait) command()   {}

// Reason says why an ask was turned away.
type Reason int

// The reasons.
const (
	// OverRate: the workspace is beyond its rate.
	OverRate Reason = iota + 1
	// Overload: no start in time is likely.
	Overload
	// NoServer: no server of the service can take requests.
	NoServer
	// TooLate: the caller's time ran out while the ask waited.
	TooLate
	// Crashing: the request broke as many servers as it may.
	Crashing
)

// String names the reason for logs.
func (r Reason) String() string {
	switch r {
	case OverRate:
		return "over_rate"
	case Overload:
		return "overload"
	case NoServer:
		return "no_server"
	case TooLate:
		return "too_late"
	case Crashing:
		return "crashing"
	}
	return "unknown"
}
