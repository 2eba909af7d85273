// Package dispatch decides which request runs on which backend server, which one waits or is refused, and which batch
// item yields its slot. It does no I/O: its state machine takes events with their times and returns commands.
package dispatch

import (
	"time"

	"verbenaledge.example/verbena/cold"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/fairness"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/memory"
	"verbenaledge.example/verbena/origin"
)

// Ticket numbers the slot requests of one host.
type Ticket uint64

// Key identifies a slot request among those of all hosts.
type Key struct {
	Host   ids.HostID `cbor:"1,keyasint"`
	Ticket Ticket     `cbor:"2,keyasint"`
}

// Class distinguishes callers' requests from batch items, which yield to them.
type Class int

// The classes.
const (
	// Online is the class of callers' requests.
	Online Class = iota
	// Batch is the class of batch items.
	Batch
)

// SlotRequest asks for a slot on a server of a service. Times are durations from the time of sending, so that hosts need
// no common clock.
type SlotRequest struct {
	Ticket    Ticket          `cbor:"1,keyasint"`
	Service   ids.ServiceName `cbor:"2,keyasint"`
	Workspace ids.WorkspaceID `cbor:"3,keyasint,omitempty"`
	Class     Class           `cbor:"4,keyasint,omitempty"`
	// Priority orders the waiting requests; the lowest number is served first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Objective is the time left until the start of the answer is late; for batch, until the job is due.
	Objective time.Duration `cbor:"6,keyasint"`
	// Remaining is the time left until the caller's or the route's timeout; for batch, until the item is given up.
	Remaining time.Duration `cbor:"7,keyasint"`
	// FirstAttemptTime is the longest time that a first attempt on the route has. With less than firstAttemptShare of it
	// remaining, the request is a caller's retry after a refusal.
	FirstAttemptTime time.Duration `cbor:"8,keyasint,omitempty"`
	// StreamEvents is the expected number of events in the answer, for batch those still to come; 1 for an answer that is
	// no stream, and 0 if unknown.
	StreamEvents int `cbor:"9,keyasint"`
	// Metered is set if the request is refused when its workspace exceeds its rate. Retries count against the rate as well,
	// but aren't refused.
	Metered bool            `cbor:"10,keyasint,omitempty"`
	Exclude []ids.BackendID `cbor:"11,keyasint,omitempty"`
	Zone    ids.ZoneID      `cbor:"12,keyasint,omitempty"`
	// Retry is set for a further send of a request that has been admitted.
	Retry bool `cbor:"13,keyasint,omitempty"`
	// Fingerprint is equal for requests with the same caller, path and body; 0 means unknown.
	Fingerprint uint64 `cbor:"14,keyasint,omitempty"`
	// Parts are the parts of the prompt that other requests may have too.
	Parts []ids.PromptPartID `cbor:"15,keyasint,omitempty"`
	// Resumption is set if the caller or the batch item has events of the stream already.
	Resumption *Resumption `cbor:"16,keyasint,omitempty"`
	// PromptTokens and OutputTokens are the size of the prompt and the maximum size of the output, 0 if unknown.
	PromptTokens int `cbor:"17,keyasint,omitempty"`
	OutputTokens int `cbor:"18,keyasint,omitempty"`
	// PartTokens are the sizes of Parts, 0 if unknown.
	PartTokens []int `cbor:"19,keyasint,omitempty"`
	// Footprint is what the request holds in a server's memory, as the scheduler computes it. Hosts don't send it.
	Footprint memory.Footprint `cbor:"-"`
	// ListOutdated is set by the scheduler for a resumed stream if its list of servers is outdated, ListConfirmedAt is when
	// the store last confirmed it. Hosts don't send them.
	ListOutdated    bool      `cbor:"-"`
	ListConfirmedAt time.Time `cbor:"-"`
}

// Result is how a send to a server ended.
type Result int

// The results.
const (
	// Served: the answer arrived completely.
	Served Result = iota
	// Cancelled: the caller left, or a batch item yielded; it tells nothing about the server.
	Cancelled
	// Full: the server rejected the request without running it.
	Full
	// Gone: another server may be at the address.
	Gone
	// Unreachable: no connection.
	Unreachable
	// Broken: the answer was truncated, malformed or missing.
	Broken
	// Failed: the server answered with an error of its own.
	Failed
	// NoPath: the host doesn't reach the server, although others may; it tells nothing about the server.
	NoPath
	// Silent: the host ended the send because the server had sent nothing for a while. Sound servers are silent for a second or
	// so, and servers that don't answer at all are found by StallReports.
	Silent
	// Rejected: the server refused the request for what it says of itself, as any server in that state would.
	Rejected
)

// String returns the result's name in metrics.
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
	case NoPath:
		return "no_path"
	case Silent:
		return "silent"
	case Rejected:
		return "rejected"
	}
	return "unknown"
}

// Outcome reports the end of a send, or withdraws a waiting request.
type Outcome struct {
	Ticket Ticket `cbor:"1,keyasint"`
	Result Result `cbor:"2,keyasint"`
	// StreamEvents and Elapsed give the server's speed; StreamEvents is 0 if the speed is unknown.
	StreamEvents int           `cbor:"3,keyasint,omitempty"`
	Elapsed      time.Duration `cbor:"4,keyasint,omitempty"`
	// TimeToFirstByte is the time from the send to the first byte of the answer.
	TimeToFirstByte time.Duration `cbor:"5,keyasint,omitempty"`
	// Running and Waiting are the server's own counts, valid if LoadReported.
	LoadReported bool `cbor:"6,keyasint,omitempty"`
	Running      int  `cbor:"7,keyasint,omitempty"`
	Waiting      int  `cbor:"8,keyasint,omitempty"`
	// Unanswered is set for a broken send if the server closed or reset the connection before it began to answer, as it
	// does when it crashes.
	Unanswered bool `cbor:"9,keyasint,omitempty"`
	// NotSent is set for a cancelled send that never began: it doesn't count against the rate.
	NotSent bool `cbor:"10,keyasint,omitempty"`
	// ConnectionAge is how long the connection that brought the answer has been open, at least; 0 means unknown.
	ConnectionAge time.Duration `cbor:"11,keyasint,omitempty"`
	// Pace is how long work took on the server's machine, in percent of the usual time, PaceAge ago; 0 means unknown.
	Pace    int           `cbor:"12,keyasint,omitempty"`
	PaceAge time.Duration `cbor:"13,keyasint,omitempty"`
}

// HeldSlot is a slot that a host holds when it connects to a dispatcher.
type HeldSlot struct {
	Request SlotRequest   `cbor:"1,keyasint"`
	Server  ids.BackendID `cbor:"2,keyasint"`
	// HeldFor is how long the slot has been held.
	HeldFor time.Duration `cbor:"3,keyasint,omitempty"`
}

// Event is an input of the Scheduler.
type Event interface{ event() }

// ServersChanged carries the current set of backend servers.
type ServersChanged struct {
	Servers map[ids.BackendID]directory.Server
}

// ServiceTraits are the properties of a service's servers that the configuration states.
type ServiceTraits struct {
	// Cold is how many requests a cold server tolerates.
	Cold cold.Bound
	// ColdTime is how long a server is cold after its start.
	ColdTime time.Duration
	// MemoryTokens is the memory of a server in tokens; 0 means unknown.
	MemoryTokens int
}

// ServicesChanged carries the current traits of all services.
type ServicesChanged struct {
	Services map[ids.ServiceName]ServiceTraits
}

// Rate limits the requests of one workspace over all hosts.
type Rate struct {
	PerSecond float64
	Burst     float64
	// InitialTokens is how many requests may be admitted when counting starts, if HasInitialTokens is set; else it is a
	// share of the burst.
	InitialTokens    float64
	HasInitialTokens bool
}

// RatesChanged carries the current set of rates; a workspace without one is unlimited. With ResetTokens, no workspace
// keeps more than its initial tokens, and servers with limits get nothing for a while: others have placed requests so far.
type RatesChanged struct {
	Rates       map[ids.WorkspaceID]Rate
	ResetTokens bool
}

// IndependentHosts carries the number of hosts that share the slots, each deciding without knowledge of the others.
type IndependentHosts struct {
	Count int
	// EntryHosts is how many of them accept callers, Rank the place of this host among these, counted from 1; 0 means unknown.
	EntryHosts, Rank int
}

// SlotRequested carries a host's slot request.
type SlotRequested struct {
	Host    ids.HostID
	Request SlotRequest
}

// SendEnded carries a host's Outcome.
type SendEnded struct {
	Host    ids.HostID
	Outcome Outcome
}

// HostConnected means that a host connects, with the slots that it holds.
type HostConnected struct {
	Host ids.HostID
	Held []HeldSlot
	// AcceptsCallers is set if the host accepts callers, Leaving if it will soon accept none.
	AcceptsCallers bool
	Leaving        bool
	// EntryHosts is how many hosts accept callers, as an earlier dispatcher told the host; 0 means unknown.
	EntryHosts int
	// AdmittedPerSecond is the host's recent rate of admitted requests by workspace.
	AdmittedPerSecond map[ids.WorkspaceID]float64
	// AdmittedElsewhere is how many requests others, such as a standby or the host itself, admitted for the host within
	// admissionWindow, by workspace.
	AdmittedElsewhere map[ids.WorkspaceID]int
	// Streams says where the streams began that the host passes on, or passed on a short time ago.
	Streams []origin.Record
	// Limits are those of servers that the host knows.
	Limits []ServerLimit
}

// HostDisconnected means that a host's connection ended.
type HostDisconnected struct {
	Host ids.HostID
	// Silent is set if the host stopped responding; otherwise it closed the connection.
	Silent bool
}

// HostLeaving means that a host will soon accept no callers.
type HostLeaving struct{ Host ids.HostID }

// StandbyChanged reports whether the scheduler is a standby, which places requests only for hosts that can't reach the
// dispatcher. EntryHosts is how many hosts accept callers, by the dispatcher's last report.
type StandbyChanged struct {
	On         bool
	EntryHosts int
}

// LeaseUncertain reports whether another host may dispatch at the same time as the scheduler's own.
type LeaseUncertain struct{ Uncertain bool }

// Tick means that time has passed.
type Tick struct{}

func (ServersChanged) event()   {}
func (RatesChanged) event()     {}
func (ServicesChanged) event()  {}
func (IndependentHosts) event() {}
func (SlotRequested) event()    {}
func (SendEnded) event()        {}
func (HostConnected) event()    {}
func (HostDisconnected) event() {}
func (HostLeaving) event()      {}
func (StandbyChanged) event()   {}
func (LeaseUncertain) event()   {}
func (Tick) event()             {}

// Command is an output of the Scheduler for a host.
type Command interface{ command() }

// Inputs are the inputs of a decision on a slot request, for logs.
type Inputs struct {
	// Free and Slots count the slots of the service's servers that can take requests.
	Free  int `cbor:"1,keyasint,omitempty"`
	Slots int `cbor:"2,keyasint,omitempty"`
	// Queue counts the waiting callers' requests, Batch the slots that batch items hold.
	Queue int `cbor:"3,keyasint,omitempty"`
	Batch int `cbor:"4,keyasint,omitempty"`
	// Limited counts the servers that name a limit, HeldBack their free slots that no request may use at present.
	Limited  int `cbor:"5,keyasint,omitempty"`
	HeldBack int `cbor:"6,keyasint,omitempty"`
	// Share is the standing of the request's workspace while room was short.
	Share fairness.Standing `cbor:"7,keyasint,omitempty"`
}

// Grant gives a slot request a slot.
type Grant struct {
	Key    Key
	Server directory.Server
	// Waited is how long the request waited.
	Waited time.Duration
	Inputs Inputs
	// Trial is set if the host must report when the answer begins.
	Trial bool
	// Resumption is set for a resumed stream.
	Resumption *ResumptionInputs
	// VersionUncertain is set if the server may run as another software version than its entry says, as the list of servers
	// is outdated.
	VersionUncertain bool
	// Limit is the server's limit, as far as it is known here. The host reports answers that say otherwise.
	Limit limit.Statement
}

// Refuse rejects a slot request.
type Refuse struct {
	Key    Key
	Reason Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
	Inputs     Inputs
	// For CrashingPart, Parts are the prompt parts that may crash servers, and Crashes is the number of crashes.
	Parts   []ids.PromptPartID
	Crashes int
	// Resumption is set for a resumed stream.
	Resumption *ResumptionInputs
}

// BrokenSendCounted reports, for logs, that a crash was counted against a request.
type BrokenSendCounted struct {
	Key    Key
	Server ids.BackendID
	// Count is how many crashes have been counted against requests with this Fingerprint.
	Fingerprint uint64
	Count       int
}

// Wait tells the host that a request waits for a slot.
type Wait struct{ Key Key }

// Yield tells the host to free the slot of a batch item.
type Yield struct{ Key Key }

func (Grant) command()  {}
func (Refuse) command() {}
func (Yield) command()  {}
func (Wait) command()   {}

func (BrokenSendCounted) command() {}
