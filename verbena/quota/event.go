package quota

import "time"

// Event is what happens to a spender.
type Event interface{ isEvent() }

// Arrived says that a request needs a token.
type TokenNeeded struct {
	Ticket Ticket
	Bucket Bucket
}

// Answered brings the owner's answer to an ask that was sent at a time.
type ResponseReceived struct {
	Request  TokenRequest
	Response TokenResponse
	Sent     time.Time
}

// AskFailed says that the owner could not be reached or didn't own the bucket.
type RequestFailed struct{ Request TokenRequest }

// Tick says that time has passed.
type Tick struct{}

func (TokenNeeded) isEvent()      {}
func (ResponseReceived) isEvent() {}
func (RequestFailed) isEvent()    {}
func (Tick) isEvent()             {}
