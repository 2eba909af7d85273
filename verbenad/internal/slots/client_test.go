package slots

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

var twoServers = map[ids.BackendID]directory.Server{
	"a": {ID: "a", Service: "llm", Slots: 1}, "b": {ID: "b", Service: "llm", Slots: 1},
}

var moreSlots = map[ids.BackendID]directory.Server{
	"a": {ID: "a", Service: "llm", Slots: 8}, "b": {ID: "b", Service: "llm", Slots: 8},
}

func slotRequest(class dispatch.Class) dispatch.SlotRequest {
	return dispatch.SlotRequest{
		Service: "llm", Class: class, Objective: time.Second, Remaining: 5 * time.Second, FirstAttemptTime: 5 * time.Second, StreamEvents: 1,
	}
}

// testHost runs a dispatcher on loopback. frozen makes it silent without closing connections.
type testHost struct {
	address    string
	dispatcher *Dispatcher
	frozen     atomic.Bool
	// limitReports counts the reports on limits that it got.
	limitReports atomic.Int64
	// inactive makes it reject hosts.
	inactive atomic.Bool
}

func startDispatcher(t *testing.T) *testHost { return startHost(t, RoleDispatcher) }

func startStandby(t *testing.T) *testHost { return startHost(t, RoleStandby) }

func startHost(t *testing.T, role DispatchRole) *testHost {
	host := &testHost{address: freeAddress(t)}
	dispatcher := NewDispatcher(
		clock.System{}, objectfeed.NewPublisher(func(objects.Kind) time.Duration { return -1 }),
		func() DispatchRole {
			if host.inactive.Load() {
				return RoleNone
			}
			return role
		}, func() (n hostlink.Update, ok bool) { return n, false }, withFreshServers,
	)
	host.dispatcher = dispatcher
	go dispatcher.Run(t.Context())
	dispatcher.SetServers(twoServers)
	dispatcher.SetStandby(role == RoleStandby, 1)
	go func() {
		_ = hostlink.Listen(t.Context(), host.address, ownerAddress(""), func(l *hostlink.Link, f hostlink.Frame) {
			hostlink.Serve(t.Context(), l, f, &freezable{Dispatcher: dispatcher, frozen: &host.frozen, limitReports: &host.limitReports}, nil)
		})
	}()
	return host
}

func noAddress() string { return "" }

// ownerAddress is a map of owners with one address.
type ownerAddress string

func (a ownerAddress) IsOwner(address string) bool { return address == string(a) }

func (a ownerAddress) AsUpdate() (update hostlink.Update, ok bool) { return update, false }

// freezable drops all frames while it is frozen.
type freezable struct {
	*Dispatcher
	frozen       *atomic.Bool
	limitReports *atomic.Int64
}

func (f *freezable) HandleFrame(l *hostlink.Link, host ids.HostID, m hostlink.Frame) {
	if m.Limit != nil {
		f.limitReports.Add(1)
	}
	if !f.frozen.Load() {
		f.Dispatcher.HandleFrame(l, host, m)
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, l.Close(), qt.IsNil) }()
	return l.Addr().String()
}

func newClient(t *testing.T, name ids.HostID, address string) *Client {
	return newFollowingClient(t, name, func() string { return address })
}

// newFollowingClient returns a client that connects to whichever dispatcher address returns.
func newFollowingClient(t *testing.T, name ids.HostID, address func() string) *Client {
	c := NewClient(name, "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), address, noAddress, withFreshServers)
	go c.Run(t.Context())
	c.SetServers(twoServers)
	return c
}

func waitConnected(t *testing.T, c *Client) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.Connected() {
			return
		}
	}
	t.Fatal("the dispatcher was not reached")
}

// TestOnlineTakesBatchSlotOfOtherHost checks that an online request of one host takes the slot of another host's batch item.
func TestOnlineTakesBatchSlotOfOtherHost(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	waitConnected(t, one)
	waitConnected(t, two)
	a, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	b, err := two.Acquire(t.Context(), slotRequest(dispatch.Batch))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Server.ID, qt.Not(qt.Equals), b.Server.ID)
	c.Assert(a.Placer, qt.Equals, PlacerDispatcher)
	third, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(third.Server.ID, qt.Equals, b.Server.ID)
	select {
	case <-b.Yielded:
	case <-time.After(5 * time.Second):
		c.Fatal("the batch item's slot was not taken back")
	}
	for _, slot := range []*Slot{a, third} {
		one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	}
	two.Release(b, dispatch.Outcome{Result: dispatch.Cancelled})
}

func TestRefusalHasReason(t *testing.T) {
	host := startDispatcher(t)
	one := newClient(t, "one", host.address)
	waitConnected(t, one)
	request := slotRequest(dispatch.Online)
	request.Service = "none"
	_, err := one.Acquire(t.Context(), request)
	r, ok := AsRefusedError(err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Reason, qt.Equals, dispatch.NoServer)
	qt.Assert(t, r.RetryAfter > 0, qt.IsTrue)
}

// TestSilentDispatcherFallsBackToLocal freezes the dispatcher. A host whose slot request gets no reply decides
// locally long before the dispatcher counts as disconnected, and returns to the dispatcher when it replies again.
func TestSilentDispatcherFallsBackToLocal(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	one := newClient(t, "one", d.address)
	waitConnected(t, one)
	d.frozen.Store(true)
	begin := time.Now()
	slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(slot.Placer, qt.Equals, PlacerLocal)
	c.Assert(time.Since(begin) < maxSilence/2, qt.IsTrue)
	one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	d.frozen.Store(false)
	waitForDispatcher(t, one)
}

func TestNoDispatcherFallsBackToLocal(t *testing.T) {
	c := qt.New(t)
	one := newClient(t, "one", "")
	slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(slot.Placer, qt.Equals, PlacerLocal)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = one.Acquire(ctx, slotRequest(dispatch.Batch))
	c.Assert(err, qt.IsNotNil, qt.Commentf("batch requests wait for a dispatcher"))
}

// TestConnectOverRelay checks that a host that also knows a relay connects to the dispatcher, and that the relay forwards
// connections only to owners.
func TestConnectOverRelay(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	relay := freeAddress(t)
	go func() {
		_ = hostlink.Listen(t.Context(), relay, ownerAddress(d.address), func(l *hostlink.Link, _ hostlink.Frame) { l.Close() })
	}()
	var l *hostlink.Link
	for end := time.Now().Add(10 * time.Second); l == nil && time.Now().Before(end); {
		// The dispatcher also answers directly, so either path may be taken.
		l, _ = hostlink.Connect(t.Context(), d.address, []string{relay})
	}
	c.Assert(l, qt.IsNotNil)
	l.Close()
	_, err := hostlink.Connect(t.Context(), freeAddress(t), []string{relay})
	c.Assert(err, qt.Equals, hostlink.ErrUnreachable, qt.Commentf("a relay forwards only to owners"))
}

// TestNonDispatchingHostRejects checks that a host without the dispatcher's role accepts no hosts and grants nothing.
func TestNonDispatchingHostRejects(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	d.inactive.Store(true)
	one := newClient(t, "one", d.address)
	for range 20 {
		slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Placer, qt.Equals, PlacerLocal)
		one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
		time.Sleep(10 * time.Millisecond)
	}
	d.inactive.Store(false)
	waitForDispatcher(t, one)
}

// TestDispatcherClosesSilentLinksAndCountsEntryHosts checks that the dispatcher closes a connection on which it
// receives nothing, and counts neither that host nor one that announced that it leaves as accepting callers.
func TestDispatcherClosesSilentLinksAndCountsEntryHosts(t *testing.T) {
	c := qt.New(t)
	dispatcher := NewDispatcher(
		clock.System{}, objectfeed.NewPublisher(func(objects.Kind) time.Duration { return -1 }),
		func() DispatchRole { return RoleDispatcher }, func() (n hostlink.Update, ok bool) { return n, false },
	)
	go dispatcher.Run(t.Context())
	address := freeAddress(t)
	go func() {
		_ = hostlink.Listen(t.Context(), address, ownerAddress(""), func(l *hostlink.Link, f hostlink.Frame) {
			hostlink.Serve(t.Context(), l, f, dispatcher, nil)
		})
	}()
	entry := NewClient(
		"entry", "z", "127.0.0.1:1", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return address }, noAddress, withFreshServers,
	)
	go entry.Run(t.Context())
	waitConnected(t, entry)
	silent := dial(t, address)
	c.Assert(silent.Send(hostlink.Frame{Hello: &hostlink.Hello{Host: "mute", RequestsSlots: true, AcceptsCallers: true}}), qt.IsNil)
	c.Assert(waitUntil(func() bool { return entryHostsOf(dispatcher) == 2 }), qt.IsTrue)
	go func() { _ = silent.Read(func(hostlink.Frame) {}) }() // it ends with the connection
	select {
	case <-silent.Closed():
	case <-time.After(10 * time.Second):
		c.Fatal("a silent connection was kept")
	}
	c.Assert(waitUntil(func() bool { return entryHostsOf(dispatcher) == 1 }), qt.IsTrue)
	entry.AnnounceLeaving()
	c.Assert(waitUntil(func() bool { return entryHostsOf(dispatcher) == 0 }), qt.IsTrue)
	c.Assert(entry.Connected(), qt.IsTrue)
}

func dial(t *testing.T, address string) *hostlink.Link {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if l, err := hostlink.Connect(t.Context(), address, nil); err == nil {
			return l
		}
	}
	t.Fatal("the dispatcher was not reached")
	return nil
}

func entryHostsOf(dispatcher *Dispatcher) int {
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	return dispatcher.entryHosts()
}

func waitUntil(done func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// waitForDispatcher requests slots until the dispatcher grants one.
func waitForDispatcher(t *testing.T, client *Client) {
	t.Helper()
	granted := waitUntil(func() bool {
		slot, err := client.Acquire(t.Context(), slotRequest(dispatch.Online))
		qt.Assert(t, err, qt.IsNil)
		client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
		return slot.Placer == PlacerDispatcher
	})
	qt.Assert(t, granted, qt.IsTrue, qt.Commentf("the dispatcher is not used again"))
}
