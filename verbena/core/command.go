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

// Command is what the decisions ask the host to do.
type Command interface{ isCommand() }

// Admitted lets a request go on.
type Admitted struct{ Ticket Ticket }

// Refused ends a request.
type Refused struct {
	Ticket  Ticket
	Refusal *refusal.Refusal
}

// Routed names the backend server of a request.
type Routed struct {
	Ticket  Ticket
	Server  backend.Server
	Suspect bool
}

// Judged answers a crash report.
type CrashVerdict struct {
	Ticket  Ticket
	Verdict poison.Verdict
	// Known is false when the workspace's owner could not be asked.
	Confirmed bool
}

// Call sends a message to a peer and brings its reply back as an event.
type CallPeer struct {
	ID      CallID
	To      ids.HostID
	Address string
	Message peer.Message
}

// Reply answers a peer's message.
type ReplyToPeer struct {
	MessageID MessageID
	Message   peer.Message
}

// ReadConfig watches the shared documents from a revision on. Wait is false for
// a plain read.
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

// ReadWards reads the leases of hosts that this one guards.
type ReadGuardedLeases struct{ Leases []lease.ID }

// ReadLease reads the guards that a lease names, if it still has the version seen.
type ReadLeaseGuards struct{ Lease lease.Entry }

// BreakLease deletes a lease that has ended, if it hasn't been renewed meanwhile.
type BreakLease struct{ Lease lease.Entry }

// WriteShards writes the shard map if it still has the expected version.
type WriteShardMap struct {
	Expected ids.Version
	Value    []byte
}

// Publish gives traffic a new snapshot.
type Publish struct{ Snapshot *Snapshot }

// Record writes an event of the time line.
type Record struct{ Event timeline.Event }

// OpenShard takes a shard's batch state over.
type OpenShard struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// CloseShard lets a shard's batch state go.
type CloseShard struct {
	Shard ids.ShardID
	Epoch ids.Epoch
}

// ReadJob reads a job's object again.
type ReadJob struct {
	Job   ids.JobID
	Shard ids.ShardID
}

// SendItems answers an ask for items with their rows.
type SendItems struct {
	MessageID MessageID
	Manager   ids.HostID
	Items     []batch.ItemRef
}

// Store keeps a result for the shard's next segment.
type StoreResult struct {
	Shard  ids.ShardID
	Result batch.Result
}

// GiveUpItem makes an error the result of an item.
type FailItem struct {
	Item   batch.ItemRef
	Reason string
}

// CloseJob writes a job's results and its end state.
type CloseJob struct {
	Shard ids.ShardID
	Close batch.CloseJob
}

// StopLocalItems cancels a job's items that run on this host.
type StopLocalItems struct{ Job ids.JobID }

// SetSlots sets how many items run on a backend server under this host.
type SetSlots struct {
	Server backend.Server
	Slots  int
	// Owned is false when another host manages the server now.
	Managed bool
	// Finish lets running items come to their end though the slots are gone.
	FinishRunning bool
}

// Spread is a document that the host has newly learned, for counting.
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
func (StopLocalItems) isCommand()    {}
func (SetSlots) isCommand()          {}
func (DocumentReceived) isCommand()  {}
