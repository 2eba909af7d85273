package quota

import "time"

// Event is what happens to a spender.
type Event interface{ isEvent() }

// Arrived says that a request needs a token.
type Arrived struct {
	Ticket Ticket
	Bucket Bucket
}

// Answered brings the owner's answer to an ask that was sent at a time.
type Answered struct {
	Ask    Ask
	Answer Answer
	Sent   time.Time
}

// AskFailed says that the owner could not be reached or didn't own the bucket.
type AskFailed struct{ Ask Ask }

// Tick says that time has passed.
type Tick struct{}

func (Arrived) isEvent()   {}
func (Answered) isEvent()  {}
func (AskFailed) isEvent() {}
func (Tick) isEvent()      {}
