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

// notices is a list of servers that said that they stop. pass, if set, passes on what hosts bring.
type notices struct {
	mu   sync.Mutex
	all  []directory.DrainNotice
	pass func([]directory.DrainNotice)
}

func (n *notices) All() []directory.DrainNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]directory.DrainNotice(nil), n.all...)
}

func (n *notices) Holds(s directory.Server) bool {
	for _, o := range n.All() {
		if o.Server == s.ID {
			return true
		}
	}
	return false
}

func (n *notices) add(list []directory.DrainNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, list...)
}

func (n *notices) FromHost(list []directory.DrainNotice) {
	n.add(list)
	n.pass(list)
}

func (n *notices) FromDispatcher(list []directory.DrainNotice) {
	for _, o := range list {
		if !n.Holds(directory.Server{ID: o.Server}) {
			n.add([]directory.DrainNotice{o})
		}
	}
}

func notice(id ids.BackendID) []directory.DrainNotice {
	return []directory.DrainNotice{{Server: id}}
}

func newDrainingClient(t *testing.T, name ids.HostID, address string, n *notices) *Client {
	c := NewClient(name, "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return address }, nowhere, WithDrainNotices(n))
	go c.Run(t.Context())
	c.SetServers(twoServers)
	connected(t, c)
	return c
}

func holds(t *testing.T, n *notices, id ids.BackendID) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n.Holds(directory.Server{ID: id}) {
			return
		}
	}
	t.Fatalf("the word on %s did not come", id)
}

// TestDrainNoticesReachAllHosts: what one host reports goes to those that ask, to those that come later, and what a
// host knows before it comes goes to the others.
func TestDrainNoticesReachAllHosts(t *testing.T) {
	d := newDispatcher(t)
	atServer := &notices{}
	atServer.pass = d.server.BroadcastDrainNotices
	d.server.drains = atServer
	first, second, third := &notices{}, &notices{}, &notices{}
	a := newDrainingClient(t, "a", d.address, first)
	newDrainingClient(t, "b", d.address, second)
	a.ReportDrainNotices(notice("a"))
	holds(t, atServer, "a")
	holds(t, second, "a")
	third.add(notice("b"))
	newDrainingClient(t, "c", d.address, third)
	holds(t, third, "a")
	holds(t, first, "b")
	holds(t, second, "b")
}

// TestSlotOnDrainingServerIsHandedBack: the dispatcher doesn't know yet what a server told this host.
func TestSlotOnDrainingServerIsHandedBack(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	n := &notices{}
	client := newDrainingClient(t, "h", d.address, n)
	n.add(notice("a"))
	for range 3 {
		l, err := client.Acquire(context.Background(), ask(dispatch.Online))
		c.Assert(err, qt.IsNil)
		c.Assert(l.Server.ID, qt.Equals, ids.BackendID("b"))
		client.Release(l, dispatch.Outcome{Result: dispatch.Served})
		time.Sleep(100 * time.Millisecond) // the slot that was handed back is offered again
	}
	n.add(notice("b"))
	_, err := client.Acquire(context.Background(), ask(dispatch.Online))
	r, ok := AsRefusedError(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Reason, qt.Equals, dispatch.NoServer)
}
