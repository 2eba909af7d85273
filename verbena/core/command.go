package core

import (
	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/refusal"
	"verbenaledge.example/verbena/timeline"
)

// Command is an action that the host must carry out.
type Command interface{ isCommand() }

// Admitted lets a request proceed.
type Admitted struct{ Ticket Ticket }

// Refused rejects a request.
type Refused struct {
	Ticket  Ticket
	Refusal *refusal.Refusal
}

// Routed names the backend server that a request must be sent to.
type Routed struct {
	Ticket  Ticket
	Server  backend.Server
	Suspect bool
}

// CrashVerdict answers a CrashDetected.
type CrashVerdict struct {
	Ticket  Ticket
	Verdict poison.Verdict
	// Confirmed is false if the workspace's owner could not be asked.
	Confirmed bool
}

// CallPeer sends a message to a peer. A PeerReplied or PeerFailed event follows.
type CallPeer struct {
	ID      CallID
	To      ids.HostID
	Address string
	Message peer.Message
}

// ReplyToPeer answers a peer's message.
type ReplyToPeer struct {
	MessageID MessageID
	Message   peer.Message
}

// ReadConfig reads the shared documents or, if Wait is true, waits for changes after a revision.
type ReadConfig struct {
	After ids.Version
	Wait  bool
}

// ReadHosts reads the host list if it is newer than a version.
type ReadHosts struct{ After ids.Version }

// WriteLease creates, renews or removes the host's own lease.
type WriteLease struct{ Command lease.Command }

// ListLeases lists the leases of all hosts.
type ListLeases struct{}

// ReadGuardedLeases reads the leases that this host guards.
type ReadGuardedLeases struct{ Leases []lease.ID }

// ReadLeaseGuards reads the guards that a lease names, if it still has the listed version.
type ReadLeaseGuards struct{ Lease lease.Entry }

// BreakLease deletes an expired lease unless it has been renewed meanwhile.
type BreakLease struct{ Lease lease.Entry }

// WriteShardMap writes the shard map if it still has the expected version.
type WriteShardMap struct {
	Expected ids.Version
	Value    []byte
}

// Publish replaces the snapshot that request handlers read.
type Publish struct{ Snapshot *Snapshot }

// Record writes an event to the timeline.
type Record struct{ Event timeline.Event }

// OpenShard loads the batch state of a shard that this host now owns.
type OpenShard struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// CloseShard drops the batch state of a shard that this host no longer owns.
type CloseShard struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// ReadJob reads a job's object again.
type ReadJob struct {
	Job   ids.JobID
	Shard ids.ShardID
}

// SendItems answers a peer's request for batch items with the items' rows.
type SendItems struct {
	MessageID MessageID
	Manager   ids.HostID
	Items     []batch.ItemRef
}

// StoreResult adds a result to the shard's next segment.
type StoreResult struct {
	Shard  ids.ShardID
	Result batch.Result
}

// FailItem stores an error as the result of an item.
type FailItem struct {
	Item   batch.ItemRef
	Reason string
}

// CloseJob writes a job's results and its final state.
type CloseJob struct {
	Shard ids.ShardID
	Close batch.CloseJob
}

// CancelLocalItems cancels a job's items that run on this host.
type CancelLocalItems struct{ Job ids.JobID }

// SetSlots sets how many batch items this host may run on a backend server.
type SetSlots struct {
	Server backend.Server
	Slots  int
	// Managed is false if another host manages the server now.
	Managed bool
	// FinishRunning lets running items complete even if they exceed the slots.
	FinishRunning bool
}

// DocumentReceived reports a newer version of a document, for metrics.
type DocumentReceived struct{ Name gossip.Name }

func (Admitted) isCommand()          {}
func (Refused) isCommand()           {}
func (Routed) isCommand()            {}
func (CrashVerdict) isCommand()      {}
func (CallPeer) isCommand()          {}
func (ReplyToPeer) isCommand()       {}
func (ReadConfig) isCommand()        {}
func (ReadHosts) isCommand()         {}
func (WriteLease) isCommand()        {}
func (ListLeases) isCommand()        {}
func (BreakLease) isCommand()        {}
func (ReadGuardedLeases) isCommand() {}
func (ReadLeaseGuards) isCommand()   {}
func (WriteShardMap) isCommand()     {}
func (Publish) isCommand()           {}
func (Record) isCommand()            {}
func (OpenShard) isCommand()         {}
func (CloseShard) isCommand()        {}
func (ReadJob) isCommand()           {}
func (SendItems) isCommand()         {}
func (StoreResult) isCommand()       {}
func (FailItem) isCommand()          {}
func (CloseJob) isCommand()          {}
func (CancelLocalItems) isCommand()  {}
func (SetSlots) isCommand()          {}
func (DocumentReceived) isCommand()  {}
