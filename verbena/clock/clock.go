// Package clock provides sources of time that code takes as an argument, so that tests can replace them.
package clock

import "time"

// Clock returns the current time, with a monotonic reading if the source has one.
type Clock interface {
	Now() time.Time
}

// System reads the operating system's clock.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}
