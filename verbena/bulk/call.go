package bulk

import (
	"time"
	"unicode/utf8"

	"verbenaledge.example/verbena/ids"
)

// Op is the operation of a call.
type Op int

// The operations on a batch job.
const (
	Submit Op = iota + 1
	ReadResults
	ReadBody
	EndJob
	// HandOverProgress reports a former owner's progress to the new one.
	HandOverProgress
)

// String names the operation for logs.
func (o Op) String() string {
	switch o {
	case Submit:
		return "submit"
	case ReadResults:
		return "read"
	case ReadBody:
		return "body"
	case EndJob:
		return "end"
	case HandOverProgress:
		return "carry_on"
	}
	return "unknown"
}

// Call is a call on a batch job to the owner of its shard.
type Call struct {
	Op        Op              `cbor:"1,keyasint"`
	Job       ids.JobID       `cbor:"2,keyasint"`
	Workspace ids.WorkspaceID `cbor:"3,keyasint"`
	// New is the job of a submission.
	New *Job `cbor:"4,keyasint,omitempty"`
	// TokenCap bounds the waiting tokens of the workspace on the job's route; 0 means no bound.
	TokenCap int64 `cbor:"5,keyasint,omitempty"`
	// After is the position of the first result to read.
	After int `cbor:"6,keyasint,omitempty"`
	// Wait is how long a read waits if there is no result at After yet.
	Wait time.Duration `cbor:"7,keyasint,omitempty"`
	Item ItemID        `cbor:"8,keyasint,omitempty"`
	// Remaining is the time left before the caller's timeout.
	Remaining time.Duration `cbor:"9,keyasint,omitempty"`
	// Progress is the former owner's report of a HandOverProgress call.
	Progress *Progress `cbor:"10,keyasint,omitempty"`
	// MaxBytes bounds the results of a read, in bytes once they are encoded, beyond the first one; 0 means the owner's own bound.
	MaxBytes int `cbor:"11,keyasint,omitempty"`
}

// NamesStorable reports whether a job and an item with the call's ids can exist: ids that are no UTF-8 are refused on
// submission, since the store would alter them and hosts of former releases can't read them.
func (c Call) NamesStorable() bool {
	return utf8.ValidString(string(c.Job)) && utf8.ValidString(string(c.Item))
}

// Code is the outcome of a call.
type Code int

// The outcomes of a call.
const (
	// Done means that the call took effect, now or earlier.
	Done Code = iota + 1
	// NotFound means that the job or item does not exist.
	NotFound
	// OverCap means that the job exceeds the cap on waiting tokens; no part of it runs.
	OverCap
	// Unavailable means that nothing was done; no part of a submitted job runs.
	Unavailable
	// OutcomeUnknown means that the call may or may not have taken effect.
	OutcomeUnknown
	// TooLarge means that the job has an item that can't be stored; no part of it runs, now or later.
	TooLarge
	// IDTaken means that a job of another workspace has the submitted job's id; no part of it runs, now or later. Hosts of former
	// releases take it for Unavailable.
	IDTaken
)

// String names the code for logs.
func (c Code) String() string {
	switch c {
	case Done:
		return "done"
	case NotFound:
		return "missing"
	case OverCap:
		return "over_cap"
	case Unavailable:
		return "unavailable"
	case OutcomeUnknown:
		return "unsettled"
	case TooLarge:
		return "too_large"
	case IDTaken:
		return "id_taken"
	}
	return "unknown"
}

// Reply is the reply to a call. Total, Results and Next are for ReadResults, Body is for ReadBody.
type Reply struct {
	Code Code `cbor:"1,keyasint"`
	// Total is the number of the job's items.
	Total   int      `cbor:"2,keyasint,omitempty"`
	Results []Result `cbor:"3,keyasint,omitempty"`
	// Next is the position from which the next read continues.
	Next       int           `cbor:"4,keyasint,omitempty"`
	Body       []byte        `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}
