package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/route"
)

var start = time.Unix(1_000_000, 0)

func newTable(servers int) *route.Table {
	t := route.NewTable(rand.New(rand.NewPCG(1, 2)))
	list := make([]backend.Server, 0, servers)
	for i := range servers {
		list = append(list, backend.Server{
			ID: ids.BackendID(fmt.Sprint("b", i)), Role: backend.RoleBackend, Service: "m",
			Zone: ids.ZoneID(fmt.Sprint("z", i%3)), State: backend.Live, Address: "a",
		})
	}
	t.Step(start, route.Listed{Servers: list})
	return t
}

// TestAffinityWithinBound checks that requests with the same prefix go to one server until its load exceeds
// the bound.
func TestAffinityWithinBound(t *testing.T) {
	c := qt.New(t)
	table := newTable(9)
	first, err := table.Pick(start, route.Request{Service: "m", Affinity: "prefix"})
	c.Assert(err, qt.IsNil)
	again, err := table.Pick(start, route.Request{Service: "m", Affinity: "prefix"})
	c.Assert(err, qt.IsNil)
	c.Assert(again.ID, qt.Equals, first.ID)
	for range 200 {
		_, err := table.Pick(start, route.Request{Service: "m", Affinity: "prefix"})
		c.Assert(err, qt.IsNil)
	}
	most := 0
	for i := range 9 {
		most = max(most, table.InFlight(ids.BackendID(fmt.Sprint("b", i))))
	}
	c.Assert(most <= 202*125/100/9+4, qt.IsTrue, qt.Commentf("%d of 202 on one server", most))
}

// TestRetryPrefersOtherZone checks that retries try other availability zones first, and no server twice.
func TestRetryPrefersOtherZone(t *testing.T) {
	c := qt.New(t)
	table := newTable(6)
	tried := make([]ids.BackendID, 1, 6)
	tried[0] = "b0"
	for range 5 {
		s, err := table.Pick(start, route.Request{Service: "m", Tried: tried})
		c.Assert(err, qt.IsNil)
		if len(tried) < 3 {
			c.Assert(s.Zone, qt.Not(qt.Equals), ids.ZoneID("z0"))
		}
		tried = append(tried, s.ID)
	}
	_, err := table.Pick(start, route.Request{Service: "m", Tried: tried})
	c.Assert(err, qt.ErrorIs, route.ErrNoBackend)
}

// TestLeavingAndFailing checks that a leaving server gets no work, and a failing one none until its backoff
// has passed.
func TestLeavingAndFailing(t *testing.T) {
	c := qt.New(t)
	table := newTable(3)
	changes := table.Step(start, route.LeavingReported{Backend: "b0"})
	c.Assert(changes, qt.DeepEquals, []route.Change{{Backend: "b0", Kind: route.Leaving}})
	c.Assert(table.Step(start, route.LeavingReported{Backend: "b0"}), qt.HasLen, 0)
	changes = table.Step(start, route.Finished{Backend: "b1", Outcome: route.Failed})
	c.Assert(changes, qt.DeepEquals, []route.Change{{Backend: "b1", Kind: route.Failing}})
	for range 20 {
		s, err := table.Pick(start, route.Request{Service: "m"})
		c.Assert(err, qt.IsNil)
		c.Assert(s.ID, qt.Equals, ids.BackendID("b2"))
	}
	later := start.Add(time.Second)
	seen := map[ids.BackendID]bool{}
	for range 50 {
		s, err := table.Pick(later, route.Request{Service: "m"})
		c.Assert(err, qt.IsNil)
		seen[s.ID] = true
	}
	c.Assert(seen, qt.DeepEquals, map[ids.BackendID]bool{"b1": true, "b2": true})
	changes = table.Step(later, route.Finished{Backend: "b1", Outcome: route.OK})
	c.Assert(changes, qt.DeepEquals, []route.Change{{Backend: "b1", Kind: route.Recovered}})
}

// TestSuspectsDoNotShareServer checks that no two suspects run on one server.
func TestSuspectsDoNotShareServer(t *testing.T) {
	c := qt.New(t)
	table := newTable(3)
	seen := map[ids.BackendID]bool{}
	for range 3 {
		s, err := table.Pick(start, route.Request{Service: "m", Suspect: true})
		c.Assert(err, qt.IsNil)
		seen[s.ID] = true
	}
	c.Assert(seen, qt.HasLen, 3)
	_, err := table.Pick(start, route.Request{Service: "m", Suspect: true})
	c.Assert(err, qt.ErrorIs, route.ErrNoBackend)
}
