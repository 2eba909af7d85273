package entry

import "time"

// refusal is the answer to a request that isn't admitted.
type refusal struct {
	status     int
	retryAfter time.Duration
	reason     string
}
