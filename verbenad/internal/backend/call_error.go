package backend

import (
	"fmt"

	"verbenaledge.example/verbena/refusal"
)

// ErrorKind is the way in which a call to a backend server failed.
type ErrorKind int

// The kinds of errors.
const (
	// NotSent means that the request was invalid or no connection could be made.
	NotSent ErrorKind = iota
	// Leaving means that the server refused the request because it is leaving.
	Leaving
	// Busy means that the server refused the request for now.
	Busy
	// Crashed means that the connection broke when the request may have been sent.
	Crashed
	// Stalled means that the server sent nothing for the stall timeout.
	Stalled
	// WrongRequestID means that the response doesn't carry the request's ID.
	WrongRequestID
	// ServerError means that the server answered with an error or an unusable response.
	ServerError
	// Cancelled means that the caller has disconnected.
	Cancelled
)

// CallError describes a failed call.
type CallError struct {
	Kind   ErrorKind
	Status int
	Reason string
}

// Error returns the reason of the failure.
func (e *CallError) Error() string {
	return fmt.Sprintf("backend call failed: %s", e.Reason)
}

// Run returns whether the request ran, as far as that is known.
func (e *CallError) Run() refusal.Run {
	switch e.Kind {
	case NotSent, Leaving, Busy:
		return refusal.NotRun
	case ServerError:
		return refusal.Ran
	default:
		return refusal.Unknown
	}
}
