package slots

import (
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
)

// ReadPace adds to an outcome how long work took on the server's machine when the head of the answer was read, which is now. end
// completes the outcome before it is sent: the figure changes many times a second, so its age counts.
func ReadPace(c clock.Clock, l exchange.Load, o *dispatch.Outcome) (end func()) {
	readAt := c.Now()
	o.Pace = l.Pace
	return func() {
		if o.Pace != 0 {
			o.PaceAge = max(0, c.Now().Sub(readAt))
		}
	}
}
