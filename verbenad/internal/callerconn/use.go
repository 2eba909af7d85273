package callerconn

import "time"

// Use is how a connection has been used.
type Use struct {
	// OpenedAt is when the host accepted the connection.
	OpenedAt time.Time
	// Requests counts the requests that have begun on it.
	Requests int
}
