package shutdown

import "time"

// Request is a request that a host might send to a server while it shuts down.
type Request struct {
	// Route is the name of the request's route.
	Route string
	// Size is the size of the response that the caller expects, in tokens; 0 if unknown.
	Size int
	// Remaining is how long the caller and the route let the request take.
	Remaining time.Duration
	// Repeatable is set if the request may be repeated and its response is no stream. Unless the response is very long, it is
	// forwarded only once it is whole, so the caller of one that ends early gets an answer.
	Repeatable bool
	// Sent is set if a server may have run the request already, so that it can't be refused any more.
	Sent bool
}
