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

func ask(class dispatch.Class) dispatch.SlotRequest {
	return dispatch.SlotRequest{Service: "llm", Class: class, Objective: time.Second, Remaining: 5 * time.Second, RouteTimeout: 5 * time.Second, StreamEvents: 1}
}

// dispatcher runs one on loopback. frozen makes it silent without closing anything.
type dispatcher struct {
	address string
	server  *Dispatcher
	frozen  atomic.Bool
	// inactive makes it turn hosts away.
	inactive atomic.Bool
}

func newDispatcher(t *testing.T) *dispatcher { return newHost(t, RoleDispatcher) }

func newStandby(t *testing.T) *dispatcher { return newHost(t, RoleStandby) }

func newHost(t *testing.T, r DispatchRole) *dispatcher {
	d := &dispatcher{address: freeAddress(t)}
	s := NewDispatcher(
		clock.System{}, objectfeed.NewPublisher(func(objects.Kind) time.Duration { return -1 }),
		func() DispatchRole {
			if d.inactive.Load() {
				return RoleNone
			}
			return r
		}, func() (n hostlink.Update, ok bool) { return n, false },
	)
	d.server = s
	go s.Run(t.Context())
	s.SetServers(twoServers)
	s.SetStandby(r == RoleStandby, 1)
	go func() {
		_ = hostlink.Listen(t.Context(), d.address, guide(""), func(l *hostlink.Link, f hostlink.Frame) {
			hostlink.Serve(t.Context(), l, f, &freezing{Dispatcher: s, frozen: &d.frozen}, nil)
		})
	}()
	return d
}

func nowhere() string { return "" }

// guide knows one owner's address.
type guide string

func (g guide) IsOwner(address string) bool { return address == string(g) }

func (g guide) AsUpdate() (n hostlink.Update, ok bool) { return n, false }

// freezing drops all messages while it is frozen.
type freezing struct {
	*Dispatcher
	frozen *atomic.Bool
}

func (f *freezing) HandleFrame(l *hostlink.Link, host ids.HostID, m hostlink.Frame) {
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
	c := NewClient(name, "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return address }, nowhere)
	go c.Run(t.Context())
	c.SetServers(twoServers)
	return c
}

func connected(t *testing.T, c *Client) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.Connected() {
			return
		}
	}
	t.Fatal("the dispatcher was not reached")
}

func TestSlotsOverTwoHosts(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	connected(t, one)
	connected(t, two)
	a, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	b, err := two.Acquire(t.Context(), ask(dispatch.Batch))
	c.Assert(err, qt.IsNil)
	c.Assert(a.Server.ID, qt.Not(qt.Equals), b.Server.ID)
	c.Assert(a.Placer, qt.Equals, PlacerDispatcher)
	third, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(third.Server.ID, qt.Equals, b.Server.ID)
	select {
	case <-b.Yielded:
	case <-time.After(5 * time.Second):
		c.Fatal("the batch item was not told to leave")
	}
	for _, l := range []*Slot{a, third} {
		one.Release(l, dispatch.Outcome{Result: dispatch.Served})
	}
	two.Release(b, dispatch.Outcome{Result: dispatch.Cancelled})
}

func TestRefusalNamesItsReason(t *testing.T) {
	d := newDispatcher(t)
	one := newClient(t, "one", d.address)
	connected(t, one)
	a := ask(dispatch.Online)
	a.Service = "none"
	_, err := one.Acquire(t.Context(), a)
	r, ok := AsRefusedError(err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, r.Reason, qt.Equals, dispatch.NoServer)
	qt.Assert(t, r.RetryAfter > 0, qt.IsTrue)
}

// TestSilentDispatcher: a host whose question brings no word decides alone within a fraction of an
// objective, and later questions don't wait at all.
func TestSilentDispatcher(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	one := newClient(t, "one", d.address)
	connected(t, one)
	d.frozen.Store(true)
	begin := time.Now()
	l, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Placer, qt.Equals, PlacerLocal)
	c.Assert(time.Since(begin) < silence/2, qt.IsTrue)
	one.Release(l, dispatch.Outcome{Result: dispatch.Served})
	d.frozen.Store(false)
	usedAgain(t, one)
}

func TestWithoutDispatcher(t *testing.T) {
	c := qt.New(t)
	one := newClient(t, "one", "")
	l, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Placer, qt.Equals, PlacerLocal)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = one.Acquire(ctx, ask(dispatch.Batch))
	c.Assert(err, qt.IsNotNil, qt.Commentf("batch waits for the host that sees which slots callers need"))
}

// TestRelay: a host that can't connect to the dispatcher itself reaches it over another one.
func TestRelay(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	relay := freeAddress(t)
	go func() {
		_ = hostlink.Listen(t.Context(), relay, guide(d.address), func(l *hostlink.Link, _ hostlink.Frame) { l.Close() })
	}()
	var l *hostlink.Link
	for end := time.Now().Add(10 * time.Second); l == nil && time.Now().Before(end); {
		// The direct way is cut: nothing listens at the first address, and the relay passes on to the second.
		l, _ = hostlink.Connect(t.Context(), d.address, []string{relay})
	}
	c.Assert(l, qt.IsNotNil)
	l.Close()
	_, err := hostlink.Connect(t.Context(), freeAddress(t), []string{relay})
	c.Assert(err, qt.Equals, hostlink.ErrUnreachable, qt.Commentf("a relay passes on only to owners"))
}

// TestTurnedAway: a host that doesn't dispatch takes nobody, and grants nothing.
func TestTurnedAway(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	d.inactive.Store(true)
	one := newClient(t, "one", d.address)
	for range 20 {
		l, err := one.Acquire(t.Context(), ask(dispatch.Online))
		c.Assert(err, qt.IsNil)
		c.Assert(l.Placer, qt.Equals, PlacerLocal)
		one.Release(l, dispatch.Outcome{Result: dispatch.Served})
		time.Sleep(10 * time.Millisecond)
	}
	d.inactive.Store(false)
	usedAgain(t, one)
}

// TestDispatcherHears: the dispatching host gives a connection up on which it hears nothing, and knows of
// a host that says so that it leaves.
func TestDispatcherHears(t *testing.T) {
	c := qt.New(t)
	s := NewDispatcher(
		clock.System{}, objectfeed.NewPublisher(func(objects.Kind) time.Duration { return -1 }),
		func() DispatchRole { return RoleDispatcher }, func() (n hostlink.Update, ok bool) { return n, false },
	)
	go s.Run(t.Context())
	address := freeAddress(t)
	go func() {
		_ = hostlink.Listen(t.Context(), address, guide(""), func(l *hostlink.Link, f hostlink.Frame) {
			hostlink.Serve(t.Context(), l, f, s, nil)
		})
	}()
	entry := NewClient("entry", "z", "127.0.0.1:1", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return address }, nowhere)
	go entry.Run(t.Context())
	connected(t, entry)
	mute := dial(t, address)
	c.Assert(mute.Send(hostlink.Frame{Hello: &hostlink.Hello{Host: "mute", Slots: true, Entry: true}}), qt.IsNil)
	c.Assert(until(func() bool { return entriesOf(s) == 2 }), qt.IsTrue)
	go func() { _ = mute.Read(func(hostlink.Frame) {}) }() // it ends with the connection
	select {
	case <-mute.Closed():
	case <-time.After(10 * time.Second):
		c.Fatal("a silent connection was kept")
	}
	c.Assert(until(func() bool { return entriesOf(s) == 1 }), qt.IsTrue)
	entry.AnnounceLeaving()
	c.Assert(until(func() bool { return entriesOf(s) == 0 }), qt.IsTrue)
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

func entriesOf(s *Dispatcher) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries()
}

func until(done func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// usedAgain asks until the dispatching host grants.
func usedAgain(t *testing.T, k *Client) {
	t.Helper()
	granted := until(func() bool {
		l, err := k.Acquire(t.Context(), ask(dispatch.Online))
		qt.Assert(t, err, qt.IsNil)
		k.Release(l, dispatch.Outcome{Result: dispatch.Served})
		return l.Placer == PlacerDispatcher
	})
	qt.Assert(t, granted, qt.IsTrue, qt.Commentf("the dispatcher is not used again"))
}
