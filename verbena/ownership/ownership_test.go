package ownership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

var start = time.Unix(5000, 0)

func units(n int) (list []Unit) {
	for i := range n {
		list = append(list, Unit(fmt.Sprintf("u%d", i)))
	}
	return list
}

func leases(revision objects.Revision, hosts ...ids.HostID) map[ids.HostID]ObservedLease {
	m := make(map[ids.HostID]ObservedLease)
	for _, h := range hosts {
		m[h] = ObservedLease{Lease: Lease{Address: string(h) + ":1"}, Revision: revision}
	}
	return m
}

func TestUnitsSpread(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(6))
	w.Observe(start, leases(1, "a", "b", "c"))
	m, changed := w.Plan(Map{})
	c.Assert(changed, qt.IsTrue)
	count := make(map[ids.HostID]int)
	for _, o := range m.Units {
		count[o.Host]++
	}
	c.Assert(count, qt.DeepEquals, map[ids.HostID]int{"a": 2, "b": 2, "c": 2})
	_, changed = w.Plan(m)
	c.Assert(changed, qt.IsFalse)
}

func TestOnlyFirstHostPlans(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("b", units(3))
	w.Observe(start, leases(1, "a", "b"))
	_, changed := w.Plan(Map{})
	c.Assert(changed, qt.IsFalse)
	w.Remove("a")
	_, changed = w.Plan(Map{})
	c.Assert(changed, qt.IsTrue)
}

func TestLostHostsUnitsMove(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(4))
	w.Observe(start, leases(1, "a", "b"))
	m, _ := w.Plan(Map{})
	w.Remove("b")
	next, changed := w.Plan(m)
	c.Assert(changed, qt.IsTrue)
	for u, o := range next.Units {
		c.Assert(o.Host, qt.Equals, ids.HostID("a"), qt.Commentf("%s", u))
		moved := m.Units[u].Host == "b"
		c.Assert(o.Epoch > m.Units[u].Epoch, qt.Equals, moved, qt.Commentf("%s", u))
	}
}

// leasesWithLastLeaving returns the hosts' leases; the last host is leaving.
func leasesWithLastLeaving(revision objects.Revision, hosts ...ids.HostID) map[ids.HostID]ObservedLease {
	l := leases(revision, hosts...)
	last := hosts[len(hosts)-1]
	leaving := l[last]
	leaving.Lease.Leaving = true
	l[last] = leaving
	return l
}

// TestLeavingHostKeepsNothing: a leaving host hands over all its units, evenly, each in a new epoch, and gets none back.
func TestLeavingHostKeepsNothing(t *testing.T) {
	c := qt.New(t)
	planner, leaver := NewWatcher("a", units(6)), NewWatcher("c", units(6))
	planner.Observe(start, leases(1, "a", "b", "c"))
	m, _ := planner.Plan(Map{})
	for _, w := range []*Watcher{planner, leaver} {
		w.Observe(start.Add(time.Second), leasesWithLastLeaving(2, "a", "b", "c"))
	}
	next, changed := leaver.HandOver(m)
	c.Assert(changed, qt.IsTrue)
	count := make(map[ids.HostID]int)
	for u, o := range next.Units {
		c.Assert(o.Host, qt.Not(qt.Equals), ids.HostID("c"))
		c.Assert(o.Epoch > m.Units[u].Epoch, qt.Equals, m.Units[u].Host == "c", qt.Commentf("%s", u))
		count[o.Host]++
	}
	c.Assert(count, qt.DeepEquals, map[ids.HostID]int{"a": 3, "b": 3})
	_, changed = leaver.HandOver(next)
	c.Assert(changed, qt.IsFalse)
	_, changed = planner.Plan(next)
	c.Assert(changed, qt.IsFalse)
}

// TestLeavingHostKeepsUnitsUntilHandOver: only a leaving host knows when it has stopped acting, so others take its
// units only once its lease is gone. The only host keeps its units.
func TestLeavingHostKeepsUnitsUntilHandOver(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(4))
	w.Observe(start, leases(1, "a", "b"))
	m, _ := w.Plan(Map{})
	w.Observe(start.Add(time.Second), leasesWithLastLeaving(2, "a", "b"))
	_, changed := w.Plan(m)
	c.Assert(changed, qt.IsFalse)
	w.Remove("b")
	next, changed := w.Plan(m)
	c.Assert(changed, qt.IsTrue)
	for _, o := range next.Units {
		c.Assert(o.Host, qt.Equals, ids.HostID("a"))
	}
	_, changed = w.HandOver(next)
	c.Assert(changed, qt.IsFalse)
}

func TestMovedHostIsFoundAtItsNewAddress(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(1))
	w.Observe(start, leases(1, "a"))
	m, _ := w.Plan(Map{})
	l := leases(2, "a")
	l["a"] = ObservedLease{Lease: Lease{Address: "elsewhere:1"}, Revision: 2}
	w.Observe(start.Add(time.Second), l)
	next, changed := w.Plan(m)
	c.Assert(changed, qt.IsTrue)
	c.Assert(next.Units["u0"].Address, qt.Equals, "elsewhere:1")
}

// TestSuspects: a lease is suspected only after it has been unchanged for BreakAfter, and its holder stops acting
// before that by its own clock.
func TestSuspects(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(1))
	w.Observe(start, leases(1, "a", "b"))
	c.Assert(w.Suspects(start.Add(BreakAfter-time.Millisecond)), qt.HasLen, 0)
	w.Observe(start.Add(BreakAfter-time.Millisecond), leases(2, "a", "b"))
	c.Assert(w.Suspects(start.Add(BreakAfter)), qt.HasLen, 0)
	w.Observe(start.Add(2*BreakAfter), leases(2, "a", "b"))
	c.Assert(w.Suspects(start.Add(2*BreakAfter)), qt.DeepEquals, map[ids.HostID]objects.Revision{"b": 2})
	c.Assert(ValidFor < BreakAfter, qt.IsTrue)
}

// TestStaleListing: an older revision of a lease doesn't replace a newer one.
func TestStaleListing(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(1))
	w.Observe(start, leases(5, "a", "b"))
	w.Observe(start.Add(2*time.Second), leases(4, "a", "b"))
	w.Observe(start.Add(3*time.Second), leases(5, "a", "b"))
	c.Assert(w.Suspects(start.Add(3*time.Second)), qt.DeepEquals, map[ids.HostID]objects.Revision{"b": 5})
}

// TestStaleListingRemovesNothing: a listing that may be older than a lease doesn't show that the lease is gone, however
// long the lease hasn't changed. A current listing does, and stale ones can't bring the lease back.
func TestStaleListingRemovesNothing(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(4))
	w.Observe(start, leases(5, "a", "b"))
	m, _ := w.Plan(Map{})
	missing := w.Observe(start.Add(2*time.Second), leases(4, "a"))
	c.Assert(missing, qt.DeepEquals, []ids.HostID{"b"})
	_, changed := w.Plan(m)
	c.Assert(changed, qt.IsFalse)
	w.ObserveCurrent(start.Add(2*time.Second), 9, leases(6, "a"))
	next, changed := w.Plan(m)
	c.Assert(changed, qt.IsTrue)
	c.Assert(w.Observe(start.Add(3*time.Second), leases(5, "a", "b")), qt.HasLen, 0)
	_, changed = w.Plan(next)
	c.Assert(changed, qt.IsFalse)
	c.Assert(w.Observe(start.Add(4*time.Second), leases(10, "a", "b")), qt.HasLen, 0)
	c.Assert(w.Suspects(start.Add(4*time.Second+BreakAfter)), qt.DeepEquals, map[ids.HostID]objects.Revision{"b": 10})
}

// TestCurrentListingKeepsAges: a current listing that repeats a revision doesn't delay the breaking of its lease.
func TestCurrentListingKeepsAges(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(1))
	w.Observe(start, leases(5, "a", "b"))
	w.ObserveCurrent(start.Add(2*time.Second), 9, leases(5, "a", "b"))
	c.Assert(w.Suspects(start.Add(BreakAfter)), qt.DeepEquals, map[ids.HostID]objects.Revision{"b": 5})
}

// TestResetAfterOutage: after Reset, the time without listings doesn't count, so no host is suspected at once.
func TestResetAfterOutage(t *testing.T) {
	c := qt.New(t)
	w := NewWatcher("a", units(1))
	w.Observe(start, leases(1, "a", "b"))
	w.Reset()
	w.Observe(start.Add(time.Minute), leases(1, "a", "b"))
	c.Assert(w.Suspects(start.Add(time.Minute)), qt.HasLen, 0)
}
