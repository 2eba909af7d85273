package slots

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

// waitForPlacer requests slots until the given placer grants one.
func waitForPlacer(t *testing.T, client *Client, placer Placer) {
	t.Helper()
	granted := waitUntil(func() bool {
		slot, err := client.Acquire(t.Context(), slotRequest(dispatch.Online))
		qt.Assert(t, err, qt.IsNil)
		client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
		return slot.Placer == placer
	})
	qt.Assert(t, granted, qt.IsTrue, qt.Commentf("%s is not used", placer))
}

func newClientWithStandby(t *testing.T, d, standby *testHost) *Client {
	return newNamedClient(t, "one", d, standby)
}

func newNamedClient(t *testing.T, name ids.HostID, d, standby *testHost) *Client {
	c := NewClient(
		name, "z", "127.0.0.1:1", clock.System{}, objectfeed.NewFeed(clock.System{}),
		func() string { return d.address }, func() string { return standby.address }, withFreshServers,
	)
	go c.Run(t.Context())
	c.SetServers(twoServers)
	waitConnected(t, c)
	qt.Assert(t, waitUntil(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.standby.link != nil
	}), qt.IsTrue)
	return c
}

// TestFallbackToStandby freezes the dispatcher, then the standby. A request without a reply from the dispatcher waits
// only shortly; then the standby, which knows the held slots, decides on online and batch requests. Without either the
// host decides locally, and it returns to each as soon as that one replies.
func TestFallbackToStandby(t *testing.T) {
	c := qt.New(t)
	d, standby := startDispatcher(t), startStandby(t)
	one := newClientWithStandby(t, d, standby)
	held, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(held.Placer, qt.Equals, PlacerDispatcher)
	d.frozen.Store(true)
	begin := time.Now()
	slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(slot.Placer, qt.Equals, PlacerStandby)
	c.Assert(slot.Server.ID, qt.Not(qt.Equals), held.Server.ID, qt.Commentf("the standby doesn't know what is held"))
	c.Assert(time.Since(begin) < maxSilence/2, qt.IsTrue)
	one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	b, err := one.Acquire(t.Context(), slotRequest(dispatch.Batch))
	c.Assert(err, qt.IsNil)
	c.Assert(b.Placer, qt.Equals, PlacerStandby)
	one.Release(b, dispatch.Outcome{Result: dispatch.Cancelled})
	one.Release(held, dispatch.Outcome{Result: dispatch.Served})
	standby.frozen.Store(true)
	waitForPlacer(t, one, PlacerLocal)
	standby.frozen.Store(false)
	waitForPlacer(t, one, PlacerStandby)
	d.frozen.Store(false)
	waitForPlacer(t, one, PlacerDispatcher)
	c.Assert(waitUntil(func() bool { return !standby.dispatcher.HasHosts() }), qt.IsTrue, qt.Commentf("the host is still connected to the standby"))
}

// TestPendingRequestsMoveToStandby checks that requests waiting for a slot when the dispatcher is lost continue to wait
// at the standby.
func TestPendingRequestsMoveToStandby(t *testing.T) {
	c := qt.New(t)
	d, standby := startDispatcher(t), startStandby(t)
	one := newClientWithStandby(t, d, standby)
	held := make([]*Slot, 0, len(twoServers))
	for range twoServers {
		slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
		c.Assert(err, qt.IsNil)
		held = append(held, slot)
	}
	granted := make(chan *Slot, 2)
	for _, class := range []dispatch.Class{dispatch.Online, dispatch.Batch} {
		go func() {
			slot, err := one.Acquire(t.Context(), slotRequest(class))
			c.Check(err, qt.IsNil)
			granted <- slot
		}()
	}
	c.Assert(waitUntil(func() bool { return countPending(one, PlacerDispatcher) == 2 }), qt.IsTrue)
	d.inactive.Store(true)
	d.dispatcher.DisconnectAll()
	c.Assert(waitUntil(func() bool { return countPending(one, PlacerStandby) == 2 }), qt.IsTrue)
	for _, slot := range held {
		one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	}
	for range 2 {
		select {
		case slot := <-granted:
			c.Assert(slot.Placer, qt.Equals, PlacerStandby)
			one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
		case <-time.After(10 * time.Second):
			c.Fatal("a slot request was lost")
		}
	}
}

// TestRequestsOutliveSilenceOfStandby guards against requests that wait at the standby for good: a host that registers there
// again after a silence of the standby is taken for one without requests.
func TestRequestsOutliveSilenceOfStandby(t *testing.T) {
	c := qt.New(t)
	d, standby := startDispatcher(t), startStandby(t)
	var lost atomic.Bool
	one := NewClient(
		"one", "z", "127.0.0.1:1", clock.System{}, objectfeed.NewFeed(clock.System{}),
		func() string {
			if lost.Load() {
				return ""
			}
			return d.address
		}, func() string { return standby.address }, withFreshServers,
	)
	go one.Run(t.Context())
	one.SetServers(twoServers)
	waitConnected(t, one)
	held := make([]*Slot, 0, len(twoServers))
	for range twoServers {
		slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
		c.Assert(err, qt.IsNil)
		held = append(held, slot)
	}
	lost.Store(true)
	d.dispatcher.DisconnectAll()
	granted := make(chan *Slot, 1)
	go func() {
		slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Batch))
		c.Check(err, qt.IsNil)
		granted <- slot
	}()
	c.Assert(waitUntil(func() bool { return countPending(one, PlacerStandby) == 1 }), qt.IsTrue)
	standby.frozen.Store(true)
	waitForPlacer(t, one, PlacerLocal)
	standby.frozen.Store(false)
	standby.dispatcher.sendStatus("one") // its next frame, before this host closes the silent connection
	c.Assert(waitUntil(func() bool {
		one.mu.Lock()
		defer one.mu.Unlock()
		return one.standby.usable()
	}), qt.IsTrue)
	for _, slot := range held {
		one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	}
	select {
	case slot := <-granted:
		one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	case <-time.After(10 * time.Second):
		c.Fatal("a slot request was lost")
	}
}

func countPending(client *Client, placer Placer) (n int) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, p := range client.pending {
		if p.placer == placer {
			n++
		}
	}
	return n
}

// TestStandbyWithoutRoleRejects checks that a host without the standby's role accepts no hosts; the host that connects
// to it decides locally.
func TestStandbyWithoutRoleRejects(t *testing.T) {
	d, standby := startDispatcher(t), startStandby(t)
	one := newClientWithStandby(t, d, standby)
	standby.inactive.Store(true)
	d.frozen.Store(true)
	waitForPlacer(t, one, PlacerLocal)
	qt.Assert(t, standby.dispatcher.HasHosts(), qt.IsFalse)
}

// TestRequestWaitsForFirstDispatcher checks that the first requests of a host that has just started and knows no
// servers wait for the dispatcher for a moment, and are refused only if none is found.
func TestRequestWaitsForFirstDispatcher(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	var known atomic.Bool
	one := NewClient("one", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string {
		if known.Load() {
			return d.address
		}
		return ""
	}, noAddress)
	go one.Run(t.Context())
	time.AfterFunc(placerWait/4, func() { known.Store(true) })
	slot, err := one.Acquire(t.Context(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(slot.Placer, qt.Equals, PlacerDispatcher)

	lost := NewClient("lost", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), noAddress, noAddress)
	go lost.Run(t.Context())
	begin := time.Now()
	_, err = lost.Acquire(t.Context(), slotRequest(dispatch.Online))
	r, ok := AsRefusedError(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Reason, qt.Equals, dispatch.NoServer)
	c.Assert(time.Since(begin) < 4*placerWait, qt.IsTrue)
}

// TestLocalRequestsMoveToDispatcher guards against requests that go on waiting at their host's own scheduler once the
// dispatcher replies again: that scheduler would grant them later, without the dispatcher counting them.
func TestLocalRequestsMoveToDispatcher(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	client := newClient(t, "one", d.address)
	waitForPlacer(t, client, PlacerDispatcher)
	d.frozen.Store(true)
	waitForPlacer(t, client, PlacerLocal)
	for range twoServers {
		_, err := client.Acquire(t.Context(), slotRequest(dispatch.Online))
		c.Assert(err, qt.IsNil)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = client.Acquire(ctx, slotRequest(dispatch.Online)) }() // it waits until the end of the test
	c.Assert(waitUntil(func() bool { return countPending(client, PlacerLocal) == 1 }), qt.IsTrue)
	d.frozen.Store(false)
	c.Assert(waitUntil(func() bool { return countPending(client, PlacerDispatcher) == 1 }), qt.IsTrue)
	c.Assert(countPending(client, PlacerLocal), qt.Equals, 0)
}
