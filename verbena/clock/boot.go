package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot measures time since the host's start with the time during which it was suspended. Leases go
// by it: other hosts count that time too.
type Boot struct{}

// Now returns the time since an arbitrary moment; only differences mean something.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
