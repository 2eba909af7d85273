package quota

import "time"

// Event is an input to a client.
type Event interface{ isEvent() }

// TokenNeeded reports that a request needs a token.
type TokenNeeded struct {
	Ticket Ticket
	Bucket Bucket
}

// ResponseReceived delivers the owner's response to a token request that was sent at the given time.
type ResponseReceived struct {
	Request  TokenRequest
	Response TokenResponse
	SentAt   time.Time
}

// RequestFailed reports that the owner could not be reached or didn't own the bucket.
type RequestFailed struct{ Request TokenRequest }

// Tick reports that time has passed.
type Tick struct{}

func (TokenNeeded) isEvent()      {}
func (ResponseReceived) isEvent() {}
func (RequestFailed) isEvent()    {}
func (Tick) isEvent()             {}
