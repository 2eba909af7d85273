package slots

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
)

// TestHeldSlotReportsRemainingTimes checks that a new dispatcher gets what is left of a held slot's durations, not their
// initial values.
func TestHeldSlotReportsRemainingTimes(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	h := &heldSlot{
		held:        dispatch.HeldSlot{Request: dispatch.SlotRequest{Objective: 18 * time.Second, Remaining: time.Minute}},
		requestedAt: start, heldSince: start.Add(time.Second),
	}
	d := h.asOf(start.Add(4 * time.Second))
	c.Assert(d.Request.Objective, qt.Equals, 14*time.Second)
	c.Assert(d.Request.Remaining, qt.Equals, 56*time.Second)
	c.Assert(d.HeldFor, qt.Equals, 3*time.Second)
}
