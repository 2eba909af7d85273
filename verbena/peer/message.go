// Package peer holds the messages that daemons send to one another. A request
// and its reply are one CBOR envelope each, on a stream of their own.
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

// Message is anything that daemons send.
type Message interface{ isMessage() }

// Gossip compares documents with a peer and passes hints.
type Gossip struct {
	From   ids.HostID    `cbor:"1,keyasint"`
	Stamp  hlc.Timestamp `cbor:"2,keyasint"`
	Digest gossip.Digest `cbor:"3,keyasint"`
	// Age is how long ago the sender knew its documents to be the platform's newest.
	Age time.Duration `cbor:"4,keyasint"`
	// PlatformAge is how long ago the sender itself had an answer of the platform.
	PlatformAge time.Duration     `cbor:"5,keyasint"`
	Documents   []gossip.Document `cbor:"6,keyasint,omitempty"`
	Leaving     []ids.BackendID   `cbor:"7,keyasint,omitempty"`
}

// QuotaAsk asks a bucket's owner for tokens.
type QuotaRequest struct {
	From    ids.HostID         `cbor:"1,keyasint"`
	Request quota.TokenRequest `cbor:"2,keyasint"`
}

// QuotaAnswer is the owner's reply.
type QuotaReply struct {
	Response quota.TokenResponse `cbor:"1,keyasint"`
}

// ItemsAsk asks a job owner for items that the sender has room for.
type ItemsRequest struct {
	From    ids.HostID      `cbor:"1,keyasint"`
	Service ids.ServiceName `cbor:"2,keyasint"`
	Max     int             `cbor:"3,keyasint"`
}

// Items is the owner's reply.
type ItemsReply struct {
	Items []Item `cbor:"1,keyasint"`
}

// Item is one row of a job on its way to a backend server.
type Item struct {
	Ref       batch.ItemRef   `cbor:"1,keyasint"`
	Workspace ids.WorkspaceID `cbor:"2,keyasint"`
	Endpoint  string          `cbor:"3,keyasint"`
	Body      []byte          `cbor:"4,keyasint"`
}

// ItemsDone brings outcomes of items to their owner.
type OutcomeReport struct {
	From     ids.HostID    `cbor:"1,keyasint"`
	Outcomes []ItemOutcome `cbor:"2,keyasint"`
}

// ItemOutcome is an answer, or the reason why there is none.
type ItemOutcome struct {
	Ref       batch.ItemRef `cbor:"1,keyasint"`
	Request   ids.RequestID `cbor:"2,keyasint"`
	Status    int           `cbor:"3,keyasint"`
	Body      []byte        `cbor:"4,keyasint,omitempty"`
	Yielded   bool          `cbor:"5,keyasint,omitempty"`
	Poisonous bool          `cbor:"6,keyasint,omitempty"`
	Reason    string        `cbor:"7,keyasint,omitempty"`
}

// StopItems asks a manager to cancel a job's running items.
type CancelItems struct {
	Job ids.JobID `cbor:"1,keyasint"`
}

// OnlineNotice tells a backend server's batch manager how many online requests
// the sender has running there.
type OnlineReport struct {
	From    ids.HostID    `cbor:"1,keyasint"`
	Backend ids.BackendID `cbor:"2,keyasint"`
	Seq     uint64        `cbor:"3,keyasint"`
	Running int           `cbor:"4,keyasint"`
}

// OnlineCount is the manager's reply: the online requests of all hosts there.
type OnlineCount struct {
	Online int `cbor:"1,keyasint"`
}

// JobChanged tells a job's owner to read its object again.
type JobChanged struct {
	Job ids.JobID `cbor:"1,keyasint"`
}

// Crashed reports to a workspace's owner that a backend server went down under a
// request; the reply is a Verdict, given after every reachable host has heard of it.
type CrashReport struct {
	Workspace ids.WorkspaceID `cbor:"1,keyasint"`
	Record    poison.Record   `cbor:"2,keyasint"`
}

// Verdict says what may become of a suspected request.
type Verdict struct {
	Verdict poison.Verdict `cbor:"1,keyasint"`
}

// Suspects spreads what is known of a fingerprint.
type SuspectUpdate struct {
	Record poison.Record `cbor:"1,keyasint"`
	// Cleared is true when the request has run to its end.
	Cleared bool `cbor:"2,keyasint,omitempty"`
}

// PromiseAsk asks a guard not to break the sender's lease for a while.
type PromiseRequest struct {
	Lease    lease.ID      `cbor:"1,keyasint"`
	Duration time.Duration `cbor:"2,keyasint"`
}

// PromiseReply is the guard's answer.
type PromiseReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// ProgressAsk asks a job's owner how far the job is.
type ProgressRequest struct {
	Job ids.JobID `cbor:"1,keyasint"`
}

// Progress is the owner's reply. Known is false when the job isn't open there.
type Progress struct {
	Known     bool `cbor:"1,keyasint"`
	Completed int  `cbor:"2,keyasint"`
	Failed    int  `cbor:"3,keyasint"`
}

// Handover tells a shard's successor, whoever that will be, what the owner under an
// epoch leaves behind.
type Handover struct {
	Shard    ids.ShardID     `cbor:"1,keyasint"`
	Epoch    ids.Epoch       `cbor:"2,keyasint"`
	Balances []quota.Balance `cbor:"3,keyasint"`
	// Complete is true when buckets that are not named are full.
	Complete bool `cbor:"4,keyasint,omitempty"`
}

// SuspectAsk asks a backend server's manager to let a suspected request run there,
// alone among suspects of all hosts. Done gives the place back.
type SuspectSlotRequest struct {
	From    ids.HostID    `cbor:"1,keyasint"`
	Backend ids.BackendID `cbor:"2,keyasint"`
	Release bool          `cbor:"3,keyasint,omitempty"`
}

// Ack says that a message has been dealt with.
type Ack struct{}

// Refusal says that the receiver can't deal with a message.
type Refusal struct {
	Reason Reason `cbor:"1,keyasint"`
}

// Reason says why a message was refused.
type Reason string

// The reasons.
const (
	NotOwner   Reason = "not_owner"
	BadMessage Reason = "bad_message"
	RetryLater Reason = "later"
)

// Error makes a refusal an error for the sender.
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
