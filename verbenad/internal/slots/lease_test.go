package slots

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
)

// TestHeldTimesGoOn: a dispatcher that takes over is told what is left of a held slot's times, not what was at first.
func TestHeldTimesGoOn(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	h := &holding{
		held:  dispatch.HeldSlot{Request: dispatch.SlotRequest{Objective: 18 * time.Second, Remaining: time.Minute}},
		asked: start, since: start.Add(time.Second),
	}
	d := h.at(start.Add(4 * time.Second))
	c.Assert(d.Request.Objective, qt.Equals, 14*time.Second)
	c.Assert(d.Request.Remaining, qt.Equals, 56*time.Second)
	c.Assert(d.HeldFor, qt.Equals, 3*time.Second)
}
