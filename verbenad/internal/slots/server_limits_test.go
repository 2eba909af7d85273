package slots

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbenad/internal/hostlink"
)

func named(perSecond limit.RequestsPerSecond) limit.Statement {
	return limit.Statement{Kind: limit.Named, PerSecond: perSecond}
}

// limitedServer is the server of twoServers and moreSlots that names limits.
const limitedServer = ids.BackendID("a")

// acquireLimited acquires a slot on limitedServer.
func acquireLimited(t *testing.T, c *Client) *Slot {
	t.Helper()
	request := slotRequest(dispatch.Online)
	request.Exclude = []ids.BackendID{"b"}
	slot, err := c.Acquire(t.Context(), request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, slot.Server.ID, qt.Equals, limitedServer)
	return slot
}

// knows waits until a client knows what limitedServer names.
func knows(c *Client, want limit.Statement) bool {
	return waitUntil(func() bool { return c.KnownLimit(limitedServer) == want })
}

// TestLimitsReachAllHosts guards against a limit that only the host knows that has read it: a host that connects later, or one
// that hasn't met the server, may have to decide locally.
func TestLimitsReachAllHosts(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	waitConnected(t, one)
	waitConnected(t, two)
	slot := acquireLimited(t, one)
	one.ReportLimit(slot, named(3), false)
	one.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	c.Assert(knows(two, named(3)), qt.IsTrue)
	three := newClient(t, "three", d.address)
	c.Assert(knows(three, named(3)), qt.IsTrue)
	c.Assert(three.KnownLimit("b"), qt.Equals, limit.Statement{})
}

// TestLimitEndsForAllHosts checks that an answer without a limit ends it everywhere, and that one to an older request doesn't.
func TestLimitEndsForAllHosts(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	d.dispatcher.SetServers(moreSlots)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	waitConnected(t, one)
	waitConnected(t, two)
	older, slot := acquireLimited(t, two), acquireLimited(t, one)
	one.ReportLimit(slot, named(50), false)
	c.Assert(knows(two, named(50)), qt.IsTrue)
	two.ReportLimit(older, limit.Statement{}, false)
	c.Assert(two.KnownLimit(limitedServer), qt.Equals, named(50))
	later := acquireLimited(t, two)
	c.Assert(later.limit, qt.Equals, named(50))
	two.ReportLimit(later, limit.Statement{}, false)
	c.Assert(knows(one, limit.Statement{}), qt.IsTrue)
}

// TestLateAnswerDoesNotRaiseLimit guards against a server's late answer to an earlier request that is taken for the newest one.
func TestLateAnswerDoesNotRaiseLimit(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	d.dispatcher.SetServers(moreSlots)
	one, two := newClient(t, "one", d.address), newClient(t, "two", d.address)
	waitConnected(t, one)
	waitConnected(t, two)
	one.ReportLimit(acquireLimited(t, one), named(50), false)
	c.Assert(knows(two, named(50)), qt.IsTrue)
	later := acquireLimited(t, two)
	two.ReportLimit(later, named(60), true)
	c.Check(two.KnownLimit(limitedServer), qt.Equals, named(50))
	two.ReportLimit(later, named(40), true) // the dispatcher has handled the former one by the time that this one is known
	c.Assert(knows(one, named(40)), qt.IsTrue)
	c.Check(one.KnownLimit(limitedServer), qt.Equals, named(40))
}

// TestKnownLimitIsNotReportedAgain guards against a message for each answer of a server that names the same limit.
func TestKnownLimitIsNotReportedAgain(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	d.dispatcher.SetServers(moreSlots)
	client := newClient(t, "one", d.address)
	waitConnected(t, client)
	first := acquireLimited(t, client)
	client.ReportLimit(first, named(50), false)
	c.Assert(waitUntil(func() bool { return acquireLimited(t, client).limit == named(50) }), qt.IsTrue)
	slot := acquireLimited(t, client)
	before := d.limitReports.Load()
	client.ReportLimit(slot, named(50), false)
	client.ReportLimit(slot, named(40), false)
	c.Assert(waitUntil(func() bool { return d.limitReports.Load() > before }), qt.IsTrue)
	c.Assert(d.limitReports.Load(), qt.Equals, before+1, qt.Commentf("frames arrive in order"))
}

// TestStandbyLearnsLimitsAndSends guards against a standby that begins with what the dispatcher has just used up: hosts report
// it the limits that they know, and their recent sends that others granted.
func TestStandbyLearnsLimitsAndSends(t *testing.T) {
	c := qt.New(t)
	d, standby := startDispatcher(t), startStandby(t)
	d.dispatcher.SetServers(moreSlots)
	standby.dispatcher.SetServers(moreSlots)
	client := newClientWithStandby(t, d, standby)
	waitForPlacer(t, client, PlacerDispatcher)
	for range 5 {
		slot := acquireLimited(t, client)
		client.ReportLimit(slot, named(1), false)
		client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	}
	client.mu.Lock()
	reported := client.limits.report(client.clock.Now(), client.standby.linkAddress)
	toDispatcher := client.limits.report(client.clock.Now(), client.dispatcher.linkAddress)
	client.mu.Unlock()
	c.Assert(reported, qt.HasLen, 1)
	c.Assert(reported[0].Sent >= 4, qt.IsTrue, qt.Commentf("%d", reported[0].Sent))
	c.Assert(toDispatcher[0].Sent, qt.Equals, 0, qt.Commentf("it has granted them itself"))
	d.frozen.Store(true)
	granted := 0
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond) // a limit of one a second allows no further one in this time
	defer cancel()
	for range 8 {
		request := slotRequest(dispatch.Online)
		request.Exclude = []ids.BackendID{"b"}
		if slot, err := client.Acquire(ctx, request); err == nil {
			c.Assert(slot.Placer, qt.Equals, PlacerStandby)
			granted++
		}
	}
	c.Assert(granted <= 8-4, qt.IsTrue, qt.Commentf("%d granted; 8 are allowed in four seconds, of which the dispatcher granted 4 or more", granted))
}

// TestHostsHaveRanks guards against hosts that take the same place among those that decide locally.
func TestHostsHaveRanks(t *testing.T) {
	c := qt.New(t)
	d := &Dispatcher{members: map[ids.HostID]*member{
		"b": {acceptsCallers: true}, "a": {acceptsCallers: true}, "storage": {}, "leaving": {acceptsCallers: true, leaving: true},
	}}
	c.Assert(d.entryHosts(), qt.Equals, 2)
	c.Assert(d.ranks, qt.DeepEquals, map[ids.HostID]int{"a": 1, "b": 2})
}

// maxLimitBytesPerSecond is the part of a daemon's 5 KB a second for control that limits may take.
const maxLimitBytesPerSecond = 4096

// TestCostOfChangingLimits guards against traffic between hosts that grows with the number of servers whose limits change
// with each answer.
func TestCostOfChangingLimits(t *testing.T) {
	c := qt.New(t)
	scheduler := dispatch.New("")
	now := time.Unix(1000, 0)
	servers, perSecond := make(map[ids.BackendID]directory.Server), make(map[int64]int)
	for n := range 600 {
		id := ids.BackendID(fmt.Sprintf("i-%010d", n))
		servers[id] = directory.Server{ID: id, Service: "llm", Slots: 8}
	}
	scheduler.Step(now, dispatch.ServersChanged{Servers: servers})
	for n := range 60_000 { // 600 servers, ten answers a second each
		now = now.Add(time.Second / 6000)
		report := dispatch.LimitReport{Server: ids.BackendID(fmt.Sprintf("i-%010d", n%600)), Statement: named(limit.RequestsPerSecond(1 + n%97))}
		for _, cmd := range scheduler.Step(now, dispatch.LimitStated{Host: "f", Report: report, HeldSince: now}) {
			if changed, ok := cmd.(dispatch.LimitsChanged); ok {
				raw, err := hostlink.Encode(hostlink.Frame{Limits: changed.Limits})
				c.Assert(err, qt.IsNil)
				perSecond[now.Unix()] += len(raw)
			}
		}
	}
	c.Assert(len(perSecond) >= 9, qt.IsTrue)
	for second, n := range perSecond {
		c.Check(n <= maxLimitBytesPerSecond, qt.IsTrue, qt.Commentf("%d bytes in second %d", n, second))
	}
}

// TestLimitsOfDepartedServersAreForgotten guards against memory that grows with each server that ends while it names a limit.
func TestLimitsOfDepartedServersAreForgotten(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	k := newKnownLimits()
	k.set(now, "a", named(3))
	k.set(now, "b", named(3))
	listed := map[ids.BackendID]directory.Server{"a": {ID: "a"}}
	k.removeDeparted(now.Add(departedLimitMemory), listed)
	c.Assert(k.servers, qt.HasLen, 2, qt.Commentf("an entry may lapse while the store is away"))
	k.removeDeparted(now.Add(departedLimitMemory+1), listed)
	c.Assert(k.servers, qt.HasLen, 1)
	c.Assert(k.of("a"), qt.Equals, named(3))
}
