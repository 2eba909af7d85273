package slots

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

// seated asks until a seat grants.
func seated(t *testing.T, k *Client, s Placer) {
	t.Helper()
	granted := until(func() bool {
		l, err := k.Acquire(t.Context(), ask(dispatch.Online))
		qt.Assert(t, err, qt.IsNil)
		k.Release(l, dispatch.Outcome{Result: dispatch.Served})
		return l.Placer == s
	})
	qt.Assert(t, granted, qt.IsTrue, qt.Commentf("%s is not used", s))
}

func newClientOfTwo(t *testing.T, first, second *dispatcher) *Client {
	c := NewClient(
		"one", "z", "127.0.0.1:1", clock.System{}, objectfeed.NewFeed(clock.System{}),
		func() string { return first.address }, func() string { return second.address },
	)
	go c.Run(t.Context())
	c.SetServers(twoServers)
	connected(t, c)
	qt.Assert(t, until(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.standby.link != nil
	}), qt.IsTrue)
	return c
}

// TestStandbyIsAsked: a dispatcher that brings no word costs one short wait, and the standby decides, on
// batch too; it knows what the host holds. Without either the host decides by itself.
func TestStandbyIsAsked(t *testing.T) {
	c := qt.New(t)
	first, second := newDispatcher(t), newStandby(t)
	one := newClientOfTwo(t, first, second)
	held, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(held.Placer, qt.Equals, PlacerDispatcher)
	first.frozen.Store(true)
	begin := time.Now()
	l, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Placer, qt.Equals, PlacerStandby)
	c.Assert(l.Server.ID, qt.Not(qt.Equals), held.Server.ID, qt.Commentf("the standby doesn't know what is held"))
	c.Assert(time.Since(begin) < silence/2, qt.IsTrue)
	one.Release(l, dispatch.Outcome{Result: dispatch.Served})
	b, err := one.Acquire(t.Context(), ask(dispatch.Batch))
	c.Assert(err, qt.IsNil)
	c.Assert(b.Placer, qt.Equals, PlacerStandby)
	one.Release(b, dispatch.Outcome{Result: dispatch.Cancelled})
	one.Release(held, dispatch.Outcome{Result: dispatch.Served})
	second.frozen.Store(true)
	seated(t, one, PlacerLocal)
	second.frozen.Store(false)
	seated(t, one, PlacerStandby)
	first.frozen.Store(false)
	seated(t, one, PlacerDispatcher)
	c.Assert(until(func() bool { return !second.server.HasHosts() }), qt.IsTrue, qt.Commentf("the standby was not left"))
}

// TestWaitingMovesToTheStandby: what waits for a slot when the dispatcher is lost waits on at the standby.
func TestWaitingMovesToTheStandby(t *testing.T) {
	c := qt.New(t)
	first, second := newDispatcher(t), newStandby(t)
	one := newClientOfTwo(t, first, second)
	held := make([]*Slot, 0, len(twoServers))
	for range twoServers {
		l, err := one.Acquire(t.Context(), ask(dispatch.Online))
		c.Assert(err, qt.IsNil)
		held = append(held, l)
	}
	granted := make(chan *Slot, 2)
	for _, class := range []dispatch.Class{dispatch.Online, dispatch.Batch} {
		go func() {
			l, err := one.Acquire(t.Context(), ask(class))
			c.Check(err, qt.IsNil)
			granted <- l
		}()
	}
	c.Assert(until(func() bool { return waiting(one, PlacerDispatcher) == 2 }), qt.IsTrue)
	first.inactive.Store(true)
	first.server.DisconnectAll()
	c.Assert(until(func() bool { return waiting(one, PlacerStandby) == 2 }), qt.IsTrue)
	for _, l := range held {
		one.Release(l, dispatch.Outcome{Result: dispatch.Served})
	}
	for range 2 {
		select {
		case l := <-granted:
			c.Assert(l.Placer, qt.Equals, PlacerStandby)
			one.Release(l, dispatch.Outcome{Result: dispatch.Served})
		case <-time.After(10 * time.Second):
			c.Fatal("an ask was forgotten")
		}
	}
}

func waiting(k *Client, s Placer) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.pending {
		if p.seat == s {
			n++
		}
	}
	return n
}

// TestStandbyThatIsNone: a host that is no standby takes nobody; its asker goes on by itself.
func TestStandbyThatIsNone(t *testing.T) {
	first, second := newDispatcher(t), newStandby(t)
	one := newClientOfTwo(t, first, second)
	second.inactive.Store(true)
	first.frozen.Store(true)
	seated(t, one, PlacerLocal)
	qt.Assert(t, second.server.HasHosts(), qt.IsFalse)
}

// TestAskWaitsForTheFirstDispatcher: a host that has just started knows no servers; its first asks wait for the
// dispatcher for a moment, and are refused only if none is found.
func TestAskWaitsForTheFirstDispatcher(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(t)
	var known atomic.Bool
	one := NewClient("one", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string {
		if known.Load() {
			return d.address
		}
		return ""
	}, nowhere)
	go one.Run(t.Context())
	time.AfterFunc(startWait/4, func() { known.Store(true) })
	l, err := one.Acquire(t.Context(), ask(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Placer, qt.Equals, PlacerDispatcher)

	lost := NewClient("lost", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), nowhere, nowhere)
	go lost.Run(t.Context())
	begin := time.Now()
	_, err = lost.Acquire(t.Context(), ask(dispatch.Online))
	r, ok := AsRefusedError(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Reason, qt.Equals, dispatch.NoServer)
	c.Assert(time.Since(begin) < 4*startWait, qt.IsTrue)
}
