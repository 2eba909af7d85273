// Package exchange describes requests and answers apart from how a deployment spells them.
package exchange

import (
	"net/http"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Call is what a caller says of its request besides method, path and body.
type RequestInfo struct {
	ID  ids.RequestID
	Key string
	// Patience is how long the caller waits; 0 means that it did not say.
	Remaining time.Duration
	// PromptTokens and OutputTokens are the size of a generation, 0 if unknown.
	PromptTokens int
	OutputTokens int
	// HintTokens is the caller's estimate of the output, 0 if unknown.
	OutputHint int
	// Resume is the id of the last event that the caller has; empty starts from the beginning.
	LastEventID string
	// Wait is how long a read may be kept waiting for news.
	Wait time.Duration
}

// Send is what a backend server is told besides the caller's own headers.
type ForwardInfo struct {
	Server    ids.BackendID
	Workspace ids.WorkspaceID
	// Patience is how long the server may work; 0 leaves it out.
	Remaining time.Duration
	// Resume is the id of the last whole event that is at hand.
	LastEventID string
}

// Reply is what a backend server says in its headers.
type ResponseInfo struct {
	ID     ids.RequestID
	Signed bool
	// NotExecuted tells that the server has not run the request and will not.
	NotExecuted bool
	Load        Load
	// Draining tells that the server stops soon: it finishes what it has and is to get nothing new.
	Draining bool
	// KeepAlive is how long the server keeps an idle connection; 0 means that it did not say.
	KeepAlive time.Duration
}

// Load is a server's count of its own work at the time of an answer.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Protocol spells calls on the wire.
type Protocol interface {
	// Call reads a caller's headers.
	ParseRequest(h http.Header) RequestInfo
	// Forward returns the headers of a request to a server.
	Forward(h http.Header, s ForwardInfo) http.Header
	// Reply reads a server's headers.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ReplyHeaders returns the headers of a server's answer that go on to the caller.
	ResponseHeaders(h http.Header) http.Header
	// Refuse writes a refusal of our own; later is when the caller should come back, 0 if never.
	WriteRefusal(w http.ResponseWriter, status int, id ids.RequestID, later time.Duration, reason string)
}
