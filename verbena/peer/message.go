// Package peer defines the messages that daemons send to each other. A request and
// its reply are one CBOR envelope each and have a stream of their own.
package peer

import (
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/hlc"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/quota"
)

// Message is a request or reply between daemons.
type Message interface{ isMessage() }

// Gossip exchanges document versions and documents with a peer. It also lists backend
// servers that are leaving.
type Gossip struct {
	From   ids.HostID    `cbor:"1,keyasint"`
	Stamp  hlc.Timestamp `cbor:"2,keyasint"`
	Digest gossip.Digest `cbor:"3,keyasint"`
	// Age is the time since the sender's documents were confirmed to be the platform's newest.
	Age time.Duration `cbor:"4,keyasint"`
	// PlatformAge is the time since the platform last answered the sender itself.
	PlatformAge time.Duration     `cbor:"5,keyasint"`
	Documents   []gossip.Document `cbor:"6,keyasint,omitempty"`
	Leaving     []ids.BackendID   `cbor:"7,keyasint,omitempty"`
}

// QuotaRequest requests tokens from a bucket's owner.
type QuotaRequest struct {
	From    ids.HostID         `cbor:"1,keyasint"`
	Request quota.TokenRequest `cbor:"2,keyasint"`
}

// QuotaReply is the owner's reply to a QuotaRequest.
type QuotaReply struct {
	Response quota.TokenResponse `cbor:"1,keyasint"`
}

// ItemsRequest requests up to Max items from a job owner, for which the sender has slots.
type ItemsRequest struct {
	From    ids.HostID      `cbor:"1,keyasint"`
	Service ids.ServiceName `cbor:"2,keyasint"`
	Max     int             `cbor:"3,keyasint"`
}

// ItemsReply is the owner's reply to an ItemsRequest.
type ItemsReply struct {
	Items []Item `cbor:"1,keyasint"`
}

// Item is one row of a job, to be run on a backend server.
type Item struct {
	Ref       batch.ItemRef   `cbor:"1,keyasint"`
	Workspace ids.WorkspaceID `cbor:"2,keyasint"`
	Endpoint  string          `cbor:"3,keyasint"`
	Body      []byte          `cbor:"4,keyasint"`
}

// OutcomeReport reports outcomes of items to their job's owner.
type OutcomeReport struct {
	From     ids.HostID    `cbor:"1,keyasint"`
	Outcomes []ItemOutcome `cbor:"2,keyasint"`
}

// ItemOutcome is a backend server's response to an item. Status is 0 when there is no
// response, and Reason says why.
type ItemOutcome struct {
	Ref     batch.ItemRef `cbor:"1,keyasint"`
	Request ids.RequestID `cbor:"2,keyasint"`
	Status  int           `cbor:"3,keyasint"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	// Yielded means that this was no attempt: the item gave up its slot, never ran, or its server crashed.
	Yielded bool `cbor:"5,keyasint,omitempty"`
	// Crashed is set by managers of earlier builds for an item under which two servers crashed.
	Crashed bool   `cbor:"6,keyasint,omitempty"`
	Reason  string `cbor:"7,keyasint,omitempty"`
}

// CancelItems requests that a manager cancels a job's running items.
type CancelItems struct {
	Job ids.JobID `cbor:"1,keyasint"`
}

// OnlineReport reports to a backend server's batch manager how many online requests
// the sender is running there.
type OnlineReport struct {
	From    ids.HostID    `cbor:"1,keyasint"`
	Backend ids.BackendID `cbor:"2,keyasint"`
	Seq     uint64        `cbor:"3,keyasint"`
	Running int           `cbor:"4,keyasint"`
}

// OnlineCount is the manager's reply to an OnlineReport: the number of online requests
// that all hosts are running on the server.
type OnlineCount struct {
	Online int `cbor:"1,keyasint"`
}

// JobChanged notifies a job's owner that the job's object has changed.
type JobChanged struct {
	Job ids.JobID `cbor:"1,keyasint"`
}

// CrashReport reports to a workspace's owner that a backend server crashed while running
// a request. The owner replies with a Verdict after every reachable host was notified.
type CrashReport struct {
	Workspace ids.WorkspaceID `cbor:"1,keyasint"`
	Record    poison.Record   `cbor:"2,keyasint"`
}

// Verdict decides what happens to a request that is suspected of crashing servers.
type Verdict struct {
	Verdict poison.Verdict `cbor:"1,keyasint"`
}

// SuspectUpdate notifies a host of the crash record of a request's fingerprint.
type SuspectUpdate struct {
	Record poison.Record `cbor:"1,keyasint"`
	// Cleared is true when the request has completed and is no longer suspected.
	Cleared bool `cbor:"2,keyasint,omitempty"`
}

// PromiseRequest requests a guard's promise not to break the sender's lease for a duration.
type PromiseRequest struct {
	Lease    lease.ID      `cbor:"1,keyasint"`
	Duration time.Duration `cbor:"2,keyasint"`
}

// PromiseReply is the guard's reply to a PromiseRequest.
type PromiseReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// ProgressRequest requests a job's progress from its owner.
type ProgressRequest struct {
	Job ids.JobID `cbor:"1,keyasint"`
}

// Progress is the owner's reply to a ProgressRequest. Known is false when the job
// isn't open on the owner.
type Progress struct {
	Known     bool `cbor:"1,keyasint"`
	Completed int  `cbor:"2,keyasint"`
	Failed    int  `cbor:"3,keyasint"`
}

// Handover passes the quota balances of a shard's owner at an epoch to the next owner.
// It is sent to all hosts, because any of them may be the next owner.
type Handover struct {
	Shard    ids.ShardID     `cbor:"1,keyasint"`
	Epoch    ids.Epoch       `cbor:"2,keyasint"`
	Balances []quota.Balance `cbor:"3,keyasint"`
	// Complete is true when buckets that aren't listed are full.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// SuspectSlotRequest requests the one slot that a backend server's manager grants to
// suspected requests of all hosts. Release returns the slot, with Failed after a failure of the server.
type SuspectSlotRequest struct {
	From    ids.HostID    `cbor:"1,keyasint"`
	Backend ids.BackendID `cbor:"2,keyasint"`
	Release bool          `cbor:"3,keyasint,omitempty"`
	Failed  bool          `cbor:"4,keyasint,omitempty"`
}

// Ack reports that a message was handled.
type Ack struct{}

// Refusal reports that the receiver didn't handle a message.
type Refusal struct {
	Reason Reason `cbor:"1,keyasint"`
}

// Reason is the reason for a refusal.
type Reason string

// The reasons for a refusal.
const (
	NotOwner   Reason = "not_owner"
	BadMessage Reason = "bad_message"
	RetryLater Reason = "later"
)

// Error implements error, so that senders can return a refusal as an error.
func (r *Refusal) Error() string {
	return "peer refused: " + string(r.Reason)
}

func (*Gossip) isMessage()             {}
func (*QuotaRequest) isMessage()       {}
func (*QuotaReply) isMessage()         {}
func (*ItemsRequest) isMessage()       {}
func (*ItemsReply) isMessage()         {}
func (*OutcomeReport) isMessage()      {}
func (*CancelItems) isMessage()        {}
func (*OnlineReport) isMessage()       {}
func (*JobChanged) isMessage()         {}
func (*CrashReport) isMessage()        {}
func (*Verdict) isMessage()            {}
func (*SuspectUpdate) isMessage()      {}
func (*PromiseRequest) isMessage()     {}
func (*PromiseReply) isMessage()       {}
func (*ProgressRequest) isMessage()    {}
func (*Progress) isMessage()           {}
func (*Handover) isMessage()           {}
func (*OnlineCount) isMessage()        {}
func (*SuspectSlotRequest) isMessage() {}
func (*Ack) isMessage()                {}
func (*Refusal) isMessage()            {}
