package quota

import "time"

// Command is an action that the client's host must carry out.
type Command interface{ isCommand() }

// Admitted lets a request proceed.
type Admitted struct{ Ticket Ticket }

// Refused rejects a request. RateExceeded is true if the bucket is empty, false if its owner could not be asked
// or too many requests wait.
type Refused struct {
	Ticket       Ticket
	RetryAfter   time.Duration
	RateExceeded bool
}

// SendRequest sends a token request to the bucket's owner.
type SendRequest struct{ Request TokenRequest }

// RetryLater asks for a Tick soon, because requests wait and the owner can't be reached.
type RetryLater struct{ Bucket Bucket }

func (Admitted) isCommand()    {}
func (Refused) isCommand()     {}
func (SendRequest) isCommand() {}
func (RetryLater) isCommand()  {}
