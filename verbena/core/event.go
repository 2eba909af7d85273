package core

import (
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/route"
)

// Event is an input to the host's decisions.
type Event interface{ isEvent() }

// Ticket identifies a request whose goroutine waits for a decision.
type Ticket uint64

// CallID identifies a message sent to a peer.
type CallID uint64

// MessageID identifies a message received from a peer.
type MessageID uint64

// Tick reports that time has passed. It comes every few tens of milliseconds.
type Tick struct{}

// Drain reports that the host is about to stop.
type Drain struct{}

// Release reports that a stopping host has finished its work and must give up what it holds.
type Release struct{}

// AdmissionRequested reports that a request needs a token of a quota bucket.
type AdmissionRequested struct {
	Ticket      Ticket
	Bucket      quota.Bucket
	Fingerprint poison.Fingerprint
}

// RouteRequested reports that an admitted request needs a backend server.
type RouteRequested struct {
	Ticket      Ticket
	Workspace   ids.WorkspaceID
	Fingerprint poison.Fingerprint
	Request     route.Request
	// Retry is true if the request has been sent before.
	Retry bool
	// Batch is true for a batch item, which doesn't count as an online request.
	Batch bool
	// since is when a suspected request was first to be routed, triedBefore how many servers it had tried by then.
	since       time.Time
	triedBefore int
}

// BackendCallEnded reports how a call to a backend server ended.
type BackendCallEnded struct {
	Backend ids.BackendID
	Outcome route.Outcome
	Suspect bool
	Batch   bool
	// Load is the number of running requests that the server reported, below 0 if it reported none.
	Load int
	// Leaving is true if the server refused the request because it is leaving.
	Leaving bool
}

// CrashDetected reports that a backend server crashed while it ran a request. A CrashVerdict answers the ticket.
type CrashDetected struct {
	Ticket      Ticket
	Workspace   ids.WorkspaceID
	Fingerprint poison.Fingerprint
	Backend     ids.BackendID
}

// SuspectCompleted reports that a suspected request has completed.
type SuspectCompleted struct {
	Workspace   ids.WorkspaceID
	Fingerprint poison.Fingerprint
}

// PeerMessageReceived delivers a peer's message. A ReplyToPeer must answer it.
type PeerMessageReceived struct {
	MessageID MessageID
	From      ids.HostID
	Message   peer.Message
}

// PeerReplied delivers a peer's reply.
type PeerReplied struct {
	Call    CallID
	Message peer.Message
}

// PeerFailed reports that a peer gave no reply.
type PeerFailed struct{ Call CallID }

// ConfigRead delivers the documents that a watch or a read returned.
type ConfigRead struct {
	RequestedAt time.Time
	Documents   []gossip.Document
	Revision    ids.Version
}

// PlatformFailed reports that the platform did not answer a read.
type PlatformFailed struct{ Command Command }

// HostsRead delivers the platform's host list.
type HostsRead struct {
	RequestedAt time.Time
	List        platform.HostList
}

// LeaseWritten reports that the host's own lease was written.
type LeaseWritten struct{ Written lease.Written }

// LeaseWriteFailed reports that the host's own lease could not be written.
type LeaseWriteFailed struct{ Failed lease.WriteFailed }

// LeasesListed delivers the leases of all hosts as of a revision.
type LeasesListed struct {
	RequestedAt time.Time
	AnsweredAt  time.Time
	Revision    ids.Version
	Leases      []lease.Entry
}

// LeaseBreakEnded reports how the deletion of another host's lease ended.
type LeaseBreakEnded struct {
	Lease lease.Entry
	OK    bool
	// OutcomeKnown is false if the platform gave no answer, so that the deletion may still take effect.
	OutcomeKnown bool
}

// GuardedLeasesRead delivers the leases guarded by this host that still exist.
type GuardedLeasesRead struct {
	RequestedAt time.Time
	AnsweredAt  time.Time
	Leases      []lease.Entry
}

// LeaseGuardsRead delivers the guards that a lease names at the listed version.
type LeaseGuardsRead struct {
	Lease  lease.Entry
	Guards []ids.HostID
}

// ShardMapWritten reports how a write of the shard map ended.
type ShardMapWritten struct {
	Version ids.Version
	Value   []byte
	OK      bool
}

// ShardReady reports that the host has loaded a shard's batch state.
type ShardReady struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// ShardSuperseded reports that the shard's stored batch state belongs to a newer owner.
type ShardSuperseded struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// BatchEvent delivers an event to the batch queue.
type BatchEvent struct{ Event batch.Event }

// Backpressure reports whether batch results accumulate in memory because they can't be committed.
type Backpressure struct{ On bool }

func (Tick) isEvent()                {}
func (Drain) isEvent()               {}
func (Release) isEvent()             {}
func (AdmissionRequested) isEvent()  {}
func (RouteRequested) isEvent()      {}
func (BackendCallEnded) isEvent()    {}
func (CrashDetected) isEvent()       {}
func (SuspectCompleted) isEvent()    {}
func (PeerMessageReceived) isEvent() {}
func (PeerReplied) isEvent()         {}
func (PeerFailed) isEvent()          {}
func (ConfigRead) isEvent()          {}
func (PlatformFailed) isEvent()      {}
func (HostsRead) isEvent()           {}
func (LeaseWritten) isEvent()        {}
func (LeaseWriteFailed) isEvent()    {}
func (LeasesListed) isEvent()        {}
func (LeaseBreakEnded) isEvent()     {}
func (GuardedLeasesRead) isEvent()   {}
func (LeaseGuardsRead) isEvent()     {}
func (ShardMapWritten) isEvent()     {}
func (ShardReady) isEvent()          {}
func (ShardSuperseded) isEvent()     {}
func (BatchEvent) isEvent()          {}
func (Backpressure) isEvent()        {}
