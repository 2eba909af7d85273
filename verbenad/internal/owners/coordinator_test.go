package owners

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

type testHost struct {
	*Coordinator
	view *View
}

func newTestHost(name ids.HostID, s *memory.Store, m *manualClock) *testHost {
	v := &View{}
	coordinator := NewCoordinator(name, "z", string(name)+":1", s, v)
	coordinator.bootClock, coordinator.started = m, m.now
	return &testHost{Coordinator: coordinator, view: v}
}

// round advances the clock by RenewInterval, runs one round of each host and updates all views.
func round(t *testing.T, m *manualClock, s *memory.Store, hosts ...*testHost) {
	m.now = m.now.Add(ownership.RenewInterval)
	for _, h := range hosts {
		_ = h.round(t.Context()) // a failed round is tried again, as in Run
	}
	for _, h := range hosts {
		if o, err := s.Get(t.Context(), KindOwners, mapName); err == nil {
			h.view.update(o)
		}
	}
}

func unitsOwned(h *testHost) (n int) {
	for _, u := range AllUnits() {
		if h.IsMapped(u) {
			n++
		}
	}
	return n
}

func TestUnitsAreSharedAndTakenOver(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	c.Assert(unitsOwned(a)+unitsOwned(b), qt.Equals, len(AllUnits()))
	c.Assert(unitsOwned(b) > 0, qt.IsTrue)
	for n := 0; unitsOwned(b) < len(AllUnits()); n++ {
		c.Assert(n < 6, qt.IsTrue, qt.Commentf("no takeover after %d rounds", n))
		round(t, m, s, b)
	}
	c.Assert(a.LeaseValid(), qt.IsFalse, qt.Commentf("the former owner still acts"))
}

// TestNoTwoOwners: when a host takes over units, the former owner's lease has expired by the former owner's clock.
func TestNoTwoOwners(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	before := unitsOwned(b)
	for range 60 {
		m.now = m.now.Add(100 * time.Millisecond)
		if m.now.UnixMilli()%1000 == 0 {
			_ = b.round(t.Context())
		}
		if o, err := s.Get(t.Context(), KindOwners, mapName); err == nil {
			b.view.update(o)
		}
		if unitsOwned(b) > before {
			c.Assert(a.LeaseValid(), qt.IsFalse)
			return
		}
	}
	c.Fatal("no takeover")
}

// TestPausedHolder: a host that was paused learns at its next renewal that its lease was broken.
func TestPausedHolder(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	for range 6 {
		round(t, m, s, b)
	}
	c.Assert(a.LeaseValid(), qt.IsFalse)
	c.Assert(a.renew(t.Context()), qt.IsNil)
	c.Assert(a.LeaseValid(), qt.IsFalse, qt.Commentf("a broken lease was renewed"))
	c.Assert(a.renew(t.Context()), qt.IsNil)
	c.Assert(a.LeaseValid(), qt.IsTrue)
}

// TestOutageBreaksNoLease: after an outage of the store for all hosts no lease is broken.
func TestOutageBreaksNoLease(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	before := unitsOwned(a)
	s.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	for range 10 {
		round(t, m, s, a, b)
	}
	c.Assert(a.LeaseValid(), qt.IsFalse)
	s.SetFault(nil)
	for range 3 {
		round(t, m, s, b, a)
	}
	c.Assert(unitsOwned(a), qt.Equals, before)
	c.Assert(a.LeaseValid(), qt.IsTrue)
}

// TestLostRenewalIsResolved: a renewal whose answer was lost counts if the store has it.
func TestLostRenewalIsResolved(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a := newTestHost("a", s, m)
	c.Assert(a.renew(t.Context()), qt.IsNil)
	s.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "replace" {
			return memory.LoseAnswer
		}
		return memory.None
	})
	for range 5 {
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil)
		c.Assert(a.LeaseValid(), qt.IsTrue)
	}
}

func TestLeavingHostHandsOverAllUnits(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	b.SetLeaving(true)
	for range 2 {
		round(t, m, s, b, a)
	}
	c.Assert(b.OwnsNothing(), qt.IsTrue)
	c.Assert(unitsOwned(a), qt.Equals, len(AllUnits()))
}

// TestLeavingHostStopsActing: a leaving host may learn late of its successors, so it stops acting for its units
// as soon as the map may name another owner.
func TestLeavingHostStopsActing(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	c.Assert(unitsOwned(b) > 0, qt.IsTrue)
	b.SetLeaving(true)
	for range 5 {
		m.now = m.now.Add(ownership.RenewInterval)
		for _, h := range []*testHost{b, a} {
			c.Assert(h.round(t.Context()), qt.IsNil)
			c.Assert(actsWithoutOwnership(t, s, b), qt.Equals, "")
		}
	}
	o, err := s.Get(t.Context(), KindOwners, mapName)
	c.Assert(err, qt.IsNil)
	a.view.update(o)
	c.Assert(unitsOwned(a), qt.Equals, len(AllUnits()))
}

// TestLostHandOver: the write that hands units over may take effect without an answer, or late. The host acts for
// none of them until the outcome is known; if it cancels, the earlier write can't take effect any more.
func TestLostHandOver(t *testing.T) {
	for _, faults := range [][]memory.Fault{{memory.LoseAnswer}, {memory.LoseCall}, {memory.Refuse}, {memory.LoseAnswer, memory.Refuse}} {
		c := qt.New(t)
		s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
		a, b := newTestHost("a", s, m), newTestHost("b", s, m)
		for range 4 {
			round(t, m, s, a, b)
		}
		writes := 0
		s.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == KindOwners && op.Verb == "replace" {
				return faults[min(len(faults)-1, writes)]
			}
			return memory.None
		})
		b.SetLeaving(true)
		for ; writes < len(faults); writes++ {
			m.now = m.now.Add(ownership.RenewInterval)
			_ = b.round(t.Context()) // its write fails
			c.Assert(actsWithoutOwnership(t, s, b), qt.Equals, "")
		}
		b.SetLeaving(false)
		_ = b.round(t.Context())
		c.Assert(actsWithoutOwnership(t, s, b), qt.Equals, "")
		s.SetFault(nil)
		for range 3 {
			round(t, m, s, a, b)
			c.Assert(actsWithoutOwnership(t, s, b), qt.Equals, "")
		}
		acts := 0
		for _, u := range AllUnits() {
			if b.IsMapped(u) {
				c.Assert(b.LeaseValid(), qt.IsTrue, qt.Commentf("the host cancelled its handover but does not act again"))
				acts++
			}
		}
		if faults[0] != memory.LoseAnswer {
			c.Assert(acts > 0, qt.IsTrue)
		}
	}
}

// TestLateHandOver guards against two owners: the write that hands units over takes effect only after the host has cancelled its
// handover and acts again. The store gives no new revision to a write that changes nothing.
func TestLateHandOver(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b, other := newTestHost("a", s, m), newTestHost("b", s, m), newTestHost("c", s, m)
	for range 4 {
		round(t, m, s, a, b, other)
	}
	if b.IsStandby() {
		b, other = other, b // the planning host replaces a standby that leaves, which would be a change
	}
	current, at := b.view.Map()
	b.SetLeaving(true)
	s.SetFault(func(op memory.Op) memory.Fault {
		if op.Kind == KindOwners && op.Verb == "replace" {
			return memory.LoseCall
		}
		return memory.None
	})
	round(t, m, s, a, b, other) // the write is under way
	late, changed := b.watcher.HandOver(current)
	c.Assert(changed, qt.IsTrue)
	s.SetFault(nil)
	b.SetLeaving(false)
	for range 2 {
		round(t, m, s, a, b, other)
	}
	_, err := s.Replace(t.Context(), KindOwners, mapName, at, late)
	c.Assert(errors.Is(err, objects.ErrConflict), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(actsWithoutOwnership(t, s, b), qt.Equals, "")
	c.Assert(unitsOwned(b) > 0, qt.IsTrue)
}

// actsWithoutOwnership returns the name of a shard for which a host acts although the stored map names another
// owner, or "".
func actsWithoutOwnership(t *testing.T, s *memory.Store, h *testHost) string {
	o, err := s.Get(t.Context(), KindOwners, mapName)
	qt.Assert(t, err, qt.IsNil)
	stored := &View{}
	stored.update(o)
	for n := bulk.Shard(0); n < bulk.Shards; n++ {
		if owner, _ := stored.Owner(ownership.Unit(n.Name())); owner.Host != h.host && h.Owns(n) {
			return n.Name()
		}
	}
	return ""
}

// TestBrokenLeaseEndsDispatch: a host whose lease was broken stops dispatching even before it knows its successor.
// A host continues while the store is unavailable, since no other host can be named then.
func TestBrokenLeaseEndsDispatch(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	former, other := a, b
	if b.MayDispatch() {
		former, other = b, a
	}
	c.Assert(former.MayDispatch(), qt.IsTrue)
	s.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	for range 6 {
		m.now = m.now.Add(ownership.RenewInterval)
		_ = former.round(t.Context()) // the store is unavailable
	}
	c.Assert(former.MayDispatch(), qt.IsTrue)
	s.SetFault(nil)
	for range 6 {
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(other.round(t.Context()), qt.IsNil)
	}
	c.Assert(other.MayDispatch(), qt.IsTrue)
	c.Assert(former.renew(t.Context()), qt.IsNil)
	c.Assert(former.IsMapped(ownership.Dispatch), qt.IsTrue, qt.Commentf("the former dispatcher knows the new map already"))
	c.Assert(former.MayDispatch(), qt.IsFalse)
	c.Assert(former.renew(t.Context()), qt.IsNil)
	c.Assert(former.LeaseValid(), qt.IsTrue)
	c.Assert(former.MayDispatch(), qt.IsFalse, qt.Commentf("the map names another host"))
}

// TestLeaseTakenWithoutAnswer: a new lease whose creation had no answer counts only once the map has been read,
// like one whose creation was answered.
func TestLeaseTakenWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	for range 6 {
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(b.round(t.Context()), qt.IsNil)
	}
	c.Assert(a.renew(t.Context()), qt.IsNil) // learns that its lease was broken
	s.SetFault(func(op memory.Op) memory.Fault {
		switch {
		case op.Verb == "create" && op.Kind == KindLeases:
			return memory.LoseAnswer
		case op.Verb == "get" && op.Kind == KindOwners:
			return memory.Refuse
		}
		return memory.None
	})
	_ = a.renew(t.Context()) // without an answer
	s.SetFault(nil)
	c.Assert(actsWithoutOwnership(t, s, a), qt.Equals, "")
	for range 2 {
		c.Assert(a.renew(t.Context()), qt.IsNil)
	}
	c.Assert(a.LeaseValid(), qt.IsTrue)
	c.Assert(actsWithoutOwnership(t, s, a), qt.Equals, "")
}
