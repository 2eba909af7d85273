package owners

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
)

// hookedStore calls a function before it writes the map of owners.
type hookedStore struct {
	*memory.Store
	beforeMap func()
}

func (s *hookedStore) Replace(ctx context.Context, kind objects.Kind, name string, at objects.Revision, spec any) (objects.Object, error) {
	if kind == KindOwners && s.beforeMap != nil {
		hook := s.beforeMap
		s.beforeMap = nil
		hook()
	}
	return s.Store.Replace(ctx, kind, name, at, spec)
}

// TestLeaseRegainedWhileUnitsMove guards against two owners: a host whose lease was broken takes a new one and reads the map while
// another host, which found no lease, is about to write the map that gives its units away.
func TestLeaseRegainedWhileUnitsMove(t *testing.T) {
	c := qt.New(t)
	s, m := memory.New(), &manualClock{now: time.Unix(1000, 0)}
	a, b := newTestHost("a", s, m), newTestHost("b", s, m)
	for range 4 {
		round(t, m, s, a, b)
	}
	c.Assert(unitsOwned(b) > 0, qt.IsTrue)
	regained := false
	a.store = &hookedStore{Store: s, beforeMap: func() {
		for range 2 { // it learns that its lease was broken, then takes a new one
			c.Check(b.renew(t.Context()), qt.IsNil)
		}
		regained = b.LeaseValid()
	}}
	for range 6 {
		round(t, m, s, a)
		c.Assert(actsWithoutOwnership(t, s, b), qt.Equals, "")
	}
	c.Assert(regained, qt.IsTrue)
}
