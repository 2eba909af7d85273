package ownership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// zonedLeases returns the leases of hosts whose first letter names their availability zone.
func zonedLeases(hosts ...ids.HostID) map[ids.HostID]ObservedLease {
	m := leases(1, hosts...)
	for h, l := range m {
		l.Lease.Zone = ids.ZoneID(h[:1])
		m[h] = l
	}
	return m
}

func dispatchUnits() []Unit { return append([]Unit{Dispatch}, units(4)...) }

func TestStandbyIsInAnotherZone(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a1", dispatchUnits())
	w.Observe(start, zonedLeases("a1", "a2", "b1", "c1"))
	m, _ := w.Plan(Map{})
	c.Assert(m.Units[Dispatch].Host, qt.Equals, ids.HostID("a1"))
	c.Assert(m.Standby.Host == "b1" || m.Standby.Host == "c1", qt.IsTrue, qt.Commentf("%s", m.Standby.Host))
	_, changed := w.Plan(m)
	c.Assert(changed, qt.IsFalse)
}

func TestStandbyReplacesDispatcher(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("b1", dispatchUnits())
	w.Observe(start, zonedLeases("a1", "a2", "b1", "c1"))
	m := Map{Units: map[Unit]Owner{Dispatch: {Host: "a1", Epoch: 3}}, Standby: Owner{Host: "c1", Epoch: 1}}
	w.Remove("a1")
	w.Remove("a2")
	next, changed := w.Plan(m)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Units[Dispatch], qt.Equals, Owner{Host: "c1", Address: "c1:1", Epoch: 4})
	c.Assert(next.Standby, qt.Equals, Owner{Host: "b1", Address: "b1:1", Epoch: 2})
}

func TestLeavingDispatcherHandsOverToItsStandby(t *testing.T) {
	c := qt.New(t)
	planner, leaver := NewWatcher("a1", dispatchUnits()), NewWatcher("c1", dispatchUnits())
	planner.Observe(start, zonedLeases("a1", "b1", "c1"))
	m, _ := planner.Plan(Map{})
	m.Units[Dispatch], m.Standby = Owner{Host: "c1", Epoch: 1}, Owner{Host: "b1", Epoch: 1}
	leaver.Observe(start.Add(time.Second), leasesWithLastLeaving(2, "a1", "b1", "c1"))
	next, changed := leaver.HandOver(m)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Units[Dispatch].Host, qt.Equals, ids.HostID("b1"))
	c.Assert(next.Standby.Host, qt.Equals, ids.HostID("a1"))
}

func TestLeavingStandbyIsReplaced(t *testing.T) {
	c := qt.New(t)
	leaver := NewWatcher("c1", dispatchUnits())
	leaver.Observe(start, leasesWithLastLeaving(1, "a1", "b1", "c1"))
	m := Map{Units: map[Unit]Owner{Dispatch: {Host: "a1", Address: "a1:1", Epoch: 1}}, Standby: Owner{Host: "c1", Epoch: 1}}
	next, changed := leaver.HandOver(m)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Units[Dispatch], qt.Equals, m.Units[Dispatch])
	c.Assert(next.Standby.Host, qt.Equals, ids.HostID("b1"))
}

func TestOneHostHasNoStandby(t *testing.T) {
	w := NewWatcher("a1", dispatchUnits())
	w.Observe(start, zonedLeases("a1"))
	m, _ := w.Plan(Map{})
	qt.Assert(t, m.Standby, qt.Equals, Owner{})
}
