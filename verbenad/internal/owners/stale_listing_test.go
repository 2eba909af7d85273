package owners

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
)

// staleStore answers stale listings with the state at the last call of freeze.
type staleStore struct {
	*memory.Store
	frozen *objects.Listing
}

func (s *staleStore) freeze(t *testing.T) {
	l, err := s.Store.List(t.Context(), KindLeases, false)
	qt.Assert(t, err, qt.IsNil)
	s.frozen = &l
}

func (s *staleStore) List(ctx context.Context, kind objects.Kind, stale bool) (objects.Listing, error) {
	if stale && s.frozen != nil {
		return *s.frozen, nil
	}
	return s.Store.List(ctx, kind, stale)
}

func newStaleHosts(names ...string) (*staleStore, *manualClock, []*testHost) {
	s, m := &staleStore{Store: memory.New()}, &manualClock{now: time.Unix(1000, 0)}
	hosts := make([]*testHost, 0, len(names))
	for _, n := range names {
		h := newTestHost(ids.HostID(n), s.Store, m)
		h.store = s
		hosts = append(hosts, h)
	}
	return s, m, hosts
}

// TestStaleListingMovesNoUnits guards against two owners of a unit: a listing that is older than a new host's lease
// lacks it, although it owns units and acts for them.
func TestStaleListingMovesNoUnits(t *testing.T) {
	c := qt.New(t)
	s, m, hosts := newStaleHosts("a", "b", "c")
	for range 4 {
		round(t, m, s.Store, hosts[:2]...)
	}
	s.freeze(t)
	frozen := s.frozen
	s.frozen = nil
	round(t, m, s.Store, hosts...)
	hosts[1].SetLeaving(true)
	for range 3 {
		round(t, m, s.Store, hosts...)
	}
	c.Assert(unitsOwned(hosts[2]) > 0, qt.IsTrue)
	before := unitsOwned(hosts[2])
	s.frozen = frozen
	for range 8 {
		round(t, m, s.Store, hosts[0], hosts[2])
		c.Assert(actsWithoutOwnership(t, s.Store, hosts[2]), qt.Equals, "")
		c.Assert(unitsOwned(hosts[2]) >= before, qt.IsTrue)
	}
}

// TestStaleListingRevivesNoHost guards against units without an owner: a listing from before a lease was broken names
// a host that is gone.
func TestStaleListingRevivesNoHost(t *testing.T) {
	c := qt.New(t)
	s, m, hosts := newStaleHosts("a", "b", "c")
	for range 4 {
		round(t, m, s.Store, hosts...)
	}
	s.freeze(t)
	frozen := s.frozen
	s.frozen = nil
	for range 6 {
		round(t, m, s.Store, hosts[:2]...)
	}
	c.Assert(unitsOwned(hosts[0])+unitsOwned(hosts[1]), qt.Equals, len(AllUnits()))
	s.frozen = frozen
	hosts[1].SetLeaving(true)
	for range 6 {
		round(t, m, s.Store, hosts[:2]...)
		o, _ := hosts[0].view.Owner(ownership.Dispatch)
		c.Assert(o.Host, qt.Not(qt.Equals), ids.HostID("c"))
		c.Assert(unitsOwned(hosts[0])+unitsOwned(hosts[1]), qt.Equals, len(AllUnits()))
	}
}

// TestStaleListingsDelayNoTakeover guards against units that stay with a host that is gone: while listings are stale, its
// lease is still broken in time.
func TestStaleListingsDelayNoTakeover(t *testing.T) {
	c := qt.New(t)
	s, m, hosts := newStaleHosts("a", "b", "c")
	for range 4 {
		round(t, m, s.Store, hosts[:2]...)
	}
	s.freeze(t)
	frozen := s.frozen
	s.frozen = nil
	round(t, m, s.Store, hosts...)
	hosts[1].SetLeaving(true)
	for range 3 {
		round(t, m, s.Store, hosts...)
	}
	s.frozen = frozen
	for range 6 { // the last owner is lost
		round(t, m, s.Store, hosts[0])
	}
	c.Assert(unitsOwned(hosts[0]), qt.Equals, len(AllUnits()))
}
