package backend

import (
	"fmt"

	"verbenaledge.example/verbena/refusal"
)

// Kind says how a call to a backend server failed.
type ErrorKind int

// The kinds of fault.
const (
	// NotSent means that no connection could be made.
	NotSent ErrorKind = iota
	// Leaving means that the server refused because it leaves.
	Leaving
	// Busy means that the server refused for now.
	Busy
	// Crashed means that the connection broke after the request was sent.
	Crashed
	// Stalled means that nothing came for too long.
	Stalled
	// WrongAnswer means that the answer bears another request's id.
	WrongRequestID
	// ServerError means that the server answered that it failed.
	ServerError
	// Cancelled means that the caller has gone.
	Cancelled
)

// Fault is a failed call.
type CallError struct {
	Kind   ErrorKind
	Status int
	Reason string
}

// Error states the reason.
func (f *CallError) Error() string {
	return fmt.Sprintf("backend call failed: %s", f.Reason)
}

// Run says whether the request ran, as far as it is known.
func (f *CallError) Run() refusal.Run {
	switch f.Kind {
	case NotSent, Leaving, Busy:
		return refusal.NotRun
	case ServerError:
		return refusal.Ran
	default:
		return refusal.Unknown
	}
}
