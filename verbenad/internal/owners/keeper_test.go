package owners

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
)

// manual is a clock that a test moves.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

type member struct {
	*Coordinator
	view *View
}

func newMember(name ids.HostID, s *memory.Store, m *manual) *member {
	v := &View{}
	k := NewCoordinator(name, "z", string(name)+":1", s, v)
	k.boot, k.started = m, m.now
	return &member{Coordinator: k, view: v}
}

// round runs one round of each host, one second apart, and lets all see the map.
func round(t *testing.T, m *manual, s *memory.Store, hosts ...*member) {
	m.now = m.now.Add(ownership.RenewInterval)
	for _, h := range hosts {
		_ = h.round(t.Context()) // a failed round is tried again, as in Run
	}
	for _, h := range hosts {
		if o, err := s.Get(t.Context(), KindOwners, nameMap); err == nil {
			h.view.take(o)
		}
	}
}

func owned(h *member) (n int) {
	for _, u := range AllUnits() {
		if h.IsMapped(u) {
			n++
		}
	}
	return n
}

func TestUnitsAreSharedAndTakenOver(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	c.Assert(owned(a)+owned(b), qt.Equals, len(AllUnits()))
	c.Assert(owned(b) > 0, qt.IsTrue)
	for n := 0; owned(b) < len(AllUnits()); n++ {
		c.Assert(n < 6, qt.IsTrue, qt.Commentf("no takeover after %d rounds", n))
		round(t, m, s, b)
	}
	c.Assert(a.LeaseValid(), qt.IsFalse, qt.Commentf("the former owner still acts"))
}

// TestNoTwoOwners: whenever a host owns what another one owned, the other's lease is over by its own clock.
func TestNoTwoOwners(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	before := owned(b)
	for range 60 {
		m.now = m.now.Add(100 * time.Millisecond)
		if m.now.UnixMilli()%1000 == 0 {
			_ = b.round(t.Context())
		}
		if o, err := s.Get(t.Context(), KindOwners, nameMap); err == nil {
			b.view.take(o)
		}
		if owned(b) > before {
			c.Assert(a.LeaseValid(), qt.IsFalse)
			return
		}
	}
	c.Fatal("no takeover")
}

// TestPausedHolder: a holder that was paused learns at its next renewal that its lease is broken.
func TestPausedHolder(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
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

// TestOutageBreaksNoLease: when the store was away for all, nobody is taken for dead on its return.
func TestOutageBreaksNoLease(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	before := owned(a)
	s.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	for range 10 {
		round(t, m, s, a, b)
	}
	c.Assert(a.LeaseValid(), qt.IsFalse)
	s.SetFault(nil)
	for range 3 {
		round(t, m, s, b, a)
	}
	c.Assert(owned(a), qt.Equals, before)
	c.Assert(a.LeaseValid(), qt.IsTrue)
}

// TestLostRenewalIsSettled: a renewal whose answer was lost counts if the store has it.
func TestLostRenewalIsSettled(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a := newMember("a", s, m)
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

func TestLeavingHostIsEmptied(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	b.SetLeaving(true)
	for range 2 {
		round(t, m, s, b, a)
	}
	c.Assert(b.OwnsNothing(), qt.IsTrue)
	c.Assert(owned(a), qt.Equals, len(AllUnits()))
}

// TestLeavingHostActsForNobody: a host that leaves hears late of its successors. From the moment at which
// the map may name another owner it accepts, denies and shows nothing.
func TestLeavingHostActsForNobody(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	c.Assert(owned(b) > 0, qt.IsTrue)
	b.SetLeaving(true)
	for range 5 {
		m.now = m.now.Add(ownership.RenewInterval)
		for _, h := range []*member{b, a} {
			c.Assert(h.round(t.Context()), qt.IsNil)
			c.Assert(actsWithout(t, s, b), qt.Equals, "")
		}
	}
	o, err := s.Get(t.Context(), KindOwners, nameMap)
	c.Assert(err, qt.IsNil)
	a.view.take(o)
	c.Assert(owned(a), qt.Equals, len(AllUnits()))
}

// TestLostHandOver: the write that hands units over may take effect without an answer, or late. Until it
// is settled the host acts for none of them; if it stays after all, nothing can move them any more.
func TestLostHandOver(t *testing.T) {
	for _, faults := range [][]memory.Fault{{memory.LoseAnswer}, {memory.LoseCall}, {memory.Refuse}, {memory.LoseAnswer, memory.Refuse}} {
		c := qt.New(t)
		s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
		a, b := newMember("a", s, m), newMember("b", s, m)
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
			c.Assert(actsWithout(t, s, b), qt.Equals, "")
		}
		b.SetLeaving(false)
		_ = b.round(t.Context())
		c.Assert(actsWithout(t, s, b), qt.Equals, "")
		s.SetFault(nil)
		for range 3 {
			round(t, m, s, a, b)
			c.Assert(actsWithout(t, s, b), qt.Equals, "")
		}
		acts := 0
		for _, u := range AllUnits() {
			if b.IsMapped(u) {
				c.Assert(b.LeaseValid(), qt.IsTrue, qt.Commentf("it stays, and never acts again"))
				acts++
			}
		}
		if faults[0] != memory.LoseAnswer {
			c.Assert(acts > 0, qt.IsTrue)
		}
	}
}

// actsWithout names a shard for which a host acts, though the map names another owner.
func actsWithout(t *testing.T, s *memory.Store, h *member) string {
	o, err := s.Get(t.Context(), KindOwners, nameMap)
	qt.Assert(t, err, qt.IsNil)
	truth := &View{}
	truth.take(o)
	for n := bulk.Shard(0); n < bulk.Shards; n++ {
		if owner, _ := truth.Owner(ownership.Unit(n.Name())); owner.Host != h.host && h.Owns(n) {
			return n.Name()
		}
	}
	return ""
}

// TestBrokenLeaseEndsDispatch: a host whose lease somebody broke dispatches no longer, before it has heard
// who does; one that can't reach the store goes on, since nobody else can have been named then.
func TestBrokenLeaseEndsDispatch(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
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
		_ = former.round(t.Context()) // the store is away
	}
	c.Assert(former.MayDispatch(), qt.IsTrue)
	s.SetFault(nil)
	for range 6 {
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(other.round(t.Context()), qt.IsNil)
	}
	c.Assert(other.MayDispatch(), qt.IsTrue)
	c.Assert(former.renew(t.Context()), qt.IsNil)
	c.Assert(former.IsMapped(ownership.Dispatch), qt.IsTrue, qt.Commentf("it has heard of the new map"))
	c.Assert(former.MayDispatch(), qt.IsFalse)
	c.Assert(former.renew(t.Context()), qt.IsNil)
	c.Assert(former.LeaseValid(), qt.IsTrue)
	c.Assert(former.MayDispatch(), qt.IsFalse, qt.Commentf("the map names another host"))
}

// TestLeaseTakenWithoutAnswer: a lease whose creation has no answer counts only once the map was read, as
// one with an answer does.
func TestLeaseTakenWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a, b := newMember("a", s, m), newMember("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	for range 6 {
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(b.round(t.Context()), qt.IsNil)
	}
	c.Assert(a.renew(t.Context()), qt.IsNil) // it was broken
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
	c.Assert(actsWithout(t, s, a), qt.Equals, "")
	for range 2 {
		c.Assert(a.renew(t.Context()), qt.IsNil)
	}
	c.Assert(a.LeaseValid(), qt.IsTrue)
	c.Assert(actsWithout(t, s, a), qt.Equals, "")
}

// TestLateRenewal: a renewal without an answer may take effect seconds later, and then meets the next one.
// It is the host's own write, so the lease goes on.
func TestLateRenewal(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a := newMember("a", s, m)
	for range 4 {
		round(t, m, s, a)
	}
	c.Assert(a.MayDispatch(), qt.IsTrue)
	for range 5 {
		late := ownership.Lease{Address: a.address, Renewal: a.beat + 1}
		s.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == KindLeases && op.Verb == "replace" {
				return memory.LoseCall
			}
			return memory.None
		})
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil) // not settled: the store has the former beat
		s.SetFault(nil)
		_, err := s.Replace(t.Context(), KindLeases, "a", a.lease, late)
		c.Assert(err, qt.IsNil)
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil)
		c.Assert(a.LeaseValid(), qt.IsTrue)
		c.Assert(a.MayDispatch(), qt.IsTrue)
	}
}

// TestLostRenewalsInARow: renewals that are lost one after the other cost the lease nothing while one in
// a round takes effect.
func TestLostRenewalsInARow(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manual{now: time.Unix(1000, 0)}
	a := newMember("a", s, m)
	c.Assert(a.renew(t.Context()), qt.IsNil)
	for range 5 {
		lost := 0
		s.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == KindLeases && op.Verb == "replace" && lost < renewTries-1 {
				lost++
				return memory.LoseCall
			}
			return memory.None
		})
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil)
		c.Assert(lost, qt.Equals, renewTries-1)
		c.Assert(a.LeaseValid(), qt.IsTrue)
	}
}
