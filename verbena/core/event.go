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

// Event is anything that the host's decisions depend on.
type Event interface{ isEvent() }

// Ticket names a waiting traffic goroutine.
type Ticket uint64

// CallID names a message that was sent to a peer.
type CallID uint64

// AskID names a message that came from a peer.
type MessageID uint64

// Tick says that time has passed; it comes every few tens of milliseconds.
type Tick struct{}

// Drain says that the host is about to stop.
type Drain struct{}

// Release says that the host's work is done: it gives back what it holds.
type Release struct{}

// AdmitAsked says that a request wants a token of a bucket.
type AdmissionRequested struct {
	Ticket      Ticket
	Bucket      quota.Bucket
	Fingerprint poison.Fingerprint
}

// RouteAsked says that an admitted request wants a backend server.
type RouteRequested struct {
	Ticket      Ticket
	Workspace   ids.WorkspaceID
	Fingerprint poison.Fingerprint
	Request     route.Request
	// Retry is true when the request has been sent before.
	Retry bool
	// Batch is true for an item, which doesn't count as online work.
	Batch bool
	// since and tried are when a suspect first asked and what it had tried by then.
	since time.Time
	tried int
}

// CallEnded says how a call to a backend server ended.
type BackendCallEnded struct {
	Backend ids.BackendID
	Outcome route.Outcome
	Suspect bool
	Batch   bool
	// Load is what the server said that it runs; below 0 when it didn't say.
	Load int
	// Leaving is true when the server refused because it leaves.
	Leaving bool
}

// CrashSeen says that a backend server went down under a request. The ticket is
// answered with a verdict.
type CrashDetected struct {
	Ticket      Ticket
	Workspace   ids.WorkspaceID
	Fingerprint poison.Fingerprint
	Backend     ids.BackendID
}

// RanWell says that a request that was suspected has run to its end.
type SuspectCompleted struct {
	Workspace   ids.WorkspaceID
	Fingerprint poison.Fingerprint
}

// PeerAsked brings a message of a peer, which waits for a Reply.
type PeerMessageReceived struct {
	MessageID MessageID
	From      ids.HostID
	Message   peer.Message
}

// PeerReplied brings a peer's reply.
type PeerReplied struct {
	Call    CallID
	Message peer.Message
}

// PeerFailed says that a peer gave no reply.
type PeerFailed struct{ Call CallID }

// ConfigRead brings the documents that a watch or a read has returned.
type ConfigRead struct {
	RequestedAt time.Time
	Documents   []gossip.Document
	Revision    ids.Version
}

// PlatformFailed says that the platform gave no answer to a read.
type PlatformFailed struct{ Command Command }

// HostsRead brings the platform's host list.
type HostsRead struct {
	RequestedAt time.Time
	List        platform.HostList
}

// LeaseWritten says that the host's own lease has been written.
type LeaseWritten struct{ Written lease.Written }

// LeaseFailed says that the host's own lease could not be written.
type LeaseWriteFailed struct{ Failed lease.WriteFailed }

// LeasesListed brings all leases as of a revision.
type LeasesListed struct {
	RequestedAt time.Time
	AnsweredAt  time.Time
	Revision    ids.Version
	Leases      []lease.Entry
}

// LeaseBreakEnded says how the deletion of another host's lease ended.
type LeaseBreakEnded struct {
	Lease lease.Entry
	OK    bool
	// Settled is false when the platform gave no answer, so that the deletion may
	// still take effect.
	OutcomeKnown bool
}

// WardsRead brings the wards' leases that stand.
type GuardedLeasesRead struct {
	RequestedAt time.Time
	AnsweredAt  time.Time
	Leases      []lease.Entry
}

// LeaseRead brings the guards that a lease names at the version seen.
type LeaseGuardsRead struct {
	Lease  lease.Entry
	Guards []ids.HostID
}

// ShardsWritten says how a write of the shard map ended.
type ShardMapWritten struct {
	Version ids.Version
	Value   []byte
	OK      bool
}

// ShardReady says that the host has taken a shard's batch state over.
type ShardReady struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// ShardClosed says that the shard's batch state turned out to have a newer owner.
type ShardSuperseded struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// Batch brings an event of the batch queue.
type BatchEvent struct{ Event batch.Event }

// Pressure says that results pile up in memory because they can't be committed.
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
