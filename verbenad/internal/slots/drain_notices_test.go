package slots

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

// testNotices is a list of drain notices. forward is called with those that hosts report.
type testNotices struct {
	mu      sync.Mutex
	all     []directory.DrainNotice
	forward func([]directory.DrainNotice)
}

func (n *testNotices) All() []directory.DrainNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]directory.DrainNotice(nil), n.all...)
}

func (n *testNotices) IsDraining(s directory.Server) bool {
	for _, o := range n.All() {
		if o.Server == s.ID {
			return true
		}
	}
	return false
}

func (n *testNotices) add(list []directory.DrainNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, list...)
}

func (n *testNotices) AddFromHost(list []directory.DrainNotice) {
	n.add(list)
	n.forward(list)
}

func (n *testNotices) AddFromPlacer(list []directory.DrainNotice) {
	for _, o := range list {
		if !n.IsDraining(directory.Server{ID: o.Server}) {
			n.add([]directory.DrainNotice{o})
		}
	}
}

func notice(id ids.BackendID) []directory.DrainNotice {
	return []directory.DrainNotice{{Server: id}}
}

func newClientWithNotices(t *testing.T, name ids.HostID, address string, n *testNotices) *Client {
	c := NewClient(name, "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return address }, noAddress, WithDrainNotices(n))
	go c.Run(t.Context())
	c.SetServers(twoServers)
	waitConnected(t, c)
	return c
}

func waitForNotice(t *testing.T, n *testNotices, id ids.BackendID) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n.IsDraining(directory.Server{ID: id}) {
			return
		}
	}
	t.Fatalf("the drain notice of %s did not arrive", id)
}

// TestDrainNoticesReachAllHosts checks that a host's notice reaches the connected hosts and those that connect later,
// and that notices which a host has before it connects reach the others.
func TestDrainNoticesReachAllHosts(t *testing.T) {
	d := startDispatcher(t)
	atDispatcher := &testNotices{}
	atDispatcher.forward = d.dispatcher.BroadcastDrainNotices
	d.dispatcher.drainNotices = atDispatcher
	first, second, third := &testNotices{}, &testNotices{}, &testNotices{}
	a := newClientWithNotices(t, "a", d.address, first)
	newClientWithNotices(t, "b", d.address, second)
	a.ReportDrainNotices(notice("a"))
	waitForNotice(t, atDispatcher, "a")
	waitForNotice(t, second, "a")
	third.add(notice("b"))
	newClientWithNotices(t, "c", d.address, third)
	waitForNotice(t, third, "a")
	waitForNotice(t, first, "b")
	waitForNotice(t, second, "b")
}

// TestSlotOnDrainingServerIsReturned has a dispatcher grant slots on a server that announced only to the client that it
// stops. The client returns them and uses the other server, and is refused once that one stops too.
func TestSlotOnDrainingServerIsReturned(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	n := &testNotices{}
	client := newClientWithNotices(t, "h", d.address, n)
	n.add(notice("a"))
	for range 3 {
		slot, err := client.Acquire(context.Background(), slotRequest(dispatch.Online))
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Server.ID, qt.Equals, ids.BackendID("b"))
		client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
		time.Sleep(100 * time.Millisecond) // the slot that was returned is granted again
	}
	n.add(notice("b"))
	_, err := client.Acquire(context.Background(), slotRequest(dispatch.Online))
	r, ok := AsRefusedError(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Reason, qt.Equals, dispatch.NoServer)
}
