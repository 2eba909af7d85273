package quota

import "time"

// Command is what a spender asks for.
type Command interface{ isCommand() }

// Admitted lets a request go on.
type Admitted struct{ Ticket Ticket }

// Refused ends a request. Exceeded is true when the bucket is empty, false when
// its owner could not be asked.
type Refused struct {
	Ticket       Ticket
	RetryAfter   time.Duration
	RateExceeded bool
}

// SendAsk sends an ask to the bucket's owner.
type SendRequest struct{ Request TokenRequest }

// Later asks for a Tick soon: requests wait and the owner can't be reached.
type RetryLater struct{ Bucket Bucket }

func (Admitted) isCommand()    {}
func (Refused) isCommand()     {}
func (SendRequest) isCommand() {}
func (RetryLater) isCommand()  {}
