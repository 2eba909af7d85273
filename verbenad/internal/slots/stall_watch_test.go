package slots

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// TestStalledServerGetsNoNewRequests has one host wait in vain for data from a server. Another host gets slots only on
// other servers until data comes. While the first host pauses its watch, the server isn't reported.
func TestStalledServerGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	first, second := newClient(t, "f", d.address), newClient(t, "g", d.address)
	waitConnected(t, first)
	waitConnected(t, second)
	slot, err := first.Acquire(context.Background(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	first.Release(slot, dispatch.Outcome{Result: dispatch.Cancelled})
	held, err := first.Acquire(context.Background(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	d.dispatcher.SetServers(moreSlots)

	w := first.WatchForStall(held)
	defer w.Stop()
	w.Pause()
	time.Sleep(2 * minStallTimeout)
	c.Assert(serversOf(t, second, 4)[held.Server.ID] > 0, qt.IsTrue, qt.Commentf("the watch was paused"))
	w.Progress()
	time.Sleep(minStallTimeout + 100*time.Millisecond)
	c.Assert(serversOf(t, second, 4)[held.Server.ID], qt.Equals, 0, qt.Commentf("the server has stalled"))
	w.Progress()
	time.Sleep(100 * time.Millisecond)
	c.Assert(serversOf(t, second, 8)[held.Server.ID] > 0, qt.IsTrue, qt.Commentf("the server sends data again"))
}

// TestStallWatchStops checks that a watch stopped during a check schedules no further one, and that a watch whose timer
// fires before start has stored it can be stopped.
func TestStallWatchStops(t *testing.T) {
	c := newClient(t, "f", freeAddress(t))
	w := c.WatchForStall(&Slot{})
	w.progressAt.Store(-int64(time.Hour)) // the check reports the server
	w.Stop()
	w.check()
	qt.Assert(t, w.timer.Stop(), qt.IsFalse, qt.Commentf("the timer is still running"))
	for range 100 {
		w := &StallWatch{client: c, clock: c.clock}
		w.start()
		w.Stop()
	}
}

// serversOf takes some slots at once and counts them by server.
func serversOf(t *testing.T, c *Client, n int) map[ids.BackendID]int {
	count := make(map[ids.BackendID]int)
	slots := make([]*Slot, 0, n)
	for range n {
		slot, err := c.Acquire(context.Background(), slotRequest(dispatch.Online))
		qt.Assert(t, err, qt.IsNil)
		count[slot.Server.ID]++
		slots = append(slots, slot)
	}
	for _, slot := range slots {
		c.Release(slot, dispatch.Outcome{Result: dispatch.Cancelled})
	}
	return count
}
