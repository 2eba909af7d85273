package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot measures the time since the host's boot, including the time during which it was suspended. Leases use it because
// other hosts count that time too.
type Boot struct{}

// Now returns a time whose zero point is arbitrary: only differences are meaningful.
func (Boot) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
