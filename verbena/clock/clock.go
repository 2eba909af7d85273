// Package clock lets callers pass in the source of time.
package clock

import "time"

// Clock tells the time. Values carry a monotonic reading where the source has one.
type Clock interface {
	Now() time.Time
}

// System reads the operating system's clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}
