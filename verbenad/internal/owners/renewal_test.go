package owners

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
)

// TestLateRenewal: a renewal without an answer may take effect seconds later, so that the next one conflicts. As
// the change is the host's own, it keeps the lease.
func TestLateRenewal(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a := newTestHost("a", s, m)
	for range 4 {
		round(t, m, s, a)
	}
	c.Assert(a.MayDispatch(), qt.IsTrue)
	for range 5 {
		late := ownership.Lease{Address: a.address, Renewal: a.renewal + 1}
		s.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == KindLeases && op.Verb == "replace" {
				return memory.LoseCall
			}
			return memory.None
		})
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil) // not resolved: the store has the previous renewal
		s.SetFault(nil)
		_, err := s.Replace(t.Context(), KindLeases, "a", a.leaseRevision, late)
		c.Assert(err, qt.IsNil)
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil)
		c.Assert(a.LeaseValid(), qt.IsTrue)
		c.Assert(a.MayDispatch(), qt.IsTrue)
	}
}

// TestLostRenewalsInARow: lost renewals don't interrupt the lease as long as one in each round takes effect.
func TestLostRenewalsInARow(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a := newTestHost("a", s, m)
	c.Assert(a.renew(t.Context()), qt.IsNil)
	for range 5 {
		lost := 0
		s.SetFault(func(op memory.Op) memory.Fault {
			if op.Kind == KindLeases && op.Verb == "replace" && lost < maxRenewTries-1 {
				lost++
				return memory.LoseCall
			}
			return memory.None
		})
		m.now = m.now.Add(ownership.RenewInterval)
		c.Assert(a.renew(t.Context()), qt.IsNil)
		c.Assert(lost, qt.Equals, maxRenewTries-1)
		c.Assert(a.LeaseValid(), qt.IsTrue)
	}
}
