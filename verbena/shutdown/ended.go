package shutdown

import "time"

// Ended is a request that has ended.
type Ended struct {
	Route string
	// Size is the size of the response that the caller expected, in tokens; 0 if unknown.
	Size int
	// Took is the time from the first send to the end.
	Took time.Duration
	// Complete is set if the response is complete. Without it, the request would have taken longer.
	Complete bool
	// Unbuffered is set if the beginning of the response was forwarded before its end had arrived.
	Unbuffered bool
}
