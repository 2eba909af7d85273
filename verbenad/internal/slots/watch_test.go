package slots

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

// TestStalledServerGetsNothingNew: a host sees nothing of a server; another one gets slots elsewhere until something
// comes. While the first host doesn't read, nothing is said of the server.
func TestStalledServerGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	first, second := newClient(t, "f", d.address), newClient(t, "g", d.address)
	connected(t, first)
	connected(t, second)
	l, err := first.Acquire(context.Background(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	first.Release(l, dispatch.Outcome{Result: dispatch.Cancelled})
	held, err := first.Acquire(context.Background(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	d.server.SetServers(moreSlots)

	w := first.WatchForStall(held)
	defer w.Stop()
	w.Pause()
	time.Sleep(2 * leastStall)
	c.Assert(serversOf(t, second, 4)[held.Server.ID] > 0, qt.IsTrue, qt.Commentf("nothing was read of it"))
	w.Progress()
	time.Sleep(leastStall + 100*time.Millisecond)
	c.Assert(serversOf(t, second, 4)[held.Server.ID], qt.Equals, 0, qt.Commentf("it has stalled"))
	w.Progress()
	time.Sleep(100 * time.Millisecond)
	c.Assert(serversOf(t, second, 8)[held.Server.ID] > 0, qt.IsTrue, qt.Commentf("it speaks again"))
}

// TestWatchEnds: a watch that is stopped while it looks doesn't look again, and one that begins late has its timer.
func TestWatchEnds(t *testing.T) {
	c := newClient(t, "f", freeAddress(t))
	w := c.WatchForStall(&Slot{})
	w.progressAt.Store(0)
	w.Stop()
	w.look()
	qt.Assert(t, w.timer.Stop(), qt.IsFalse, qt.Commentf("the timer runs on"))
	for range 100 {
		w := &StallWatch{client: c, clock: c.clock}
		w.begin()
		w.Stop()
	}
}

// serversOf takes some slots at once and counts them by server.
func serversOf(t *testing.T, c *Client, n int) map[ids.BackendID]int {
	count := make(map[ids.BackendID]int)
	leases := make([]*Slot, 0, n)
	for range n {
		l, err := c.Acquire(context.Background(), ask(dispatch.Online))
		qt.Assert(t, err, qt.IsNil)
		count[l.Server.ID]++
		leases = append(leases, l)
	}
	for _, l := range leases {
		c.Release(l, dispatch.Outcome{Result: dispatch.Cancelled})
	}
	return count
}
