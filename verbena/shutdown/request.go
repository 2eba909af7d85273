package shutdown

import "time"

// Request is a request that a host might begin while it shuts down.
type Request struct {
	// Route is the name of the request's route.
	Route string
	// Size is the size of the response that the caller expects, in tokens; 0 if unknown.
	Size int
	// Remaining is how long the caller and the route let the request take.
	Remaining time.Duration
	// Repeatable is set if the request, cut short, is answered as a whole and its caller may repeat it.
	Repeatable bool
}
