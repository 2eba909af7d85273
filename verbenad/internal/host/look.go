package host

import (
	"context"
	"time"

	"github.com/apex/log"

	jobs "verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/slots"
)

// role is what this host is to hosts that ask for slots.
func (s *storage) role() slots.DispatchRole {
	switch {
	case s.keeper.MayDispatch():
		return slots.RoleDispatcher
	case s.keeper.IsStandby():
		return slots.RoleStandby
	}
	return slots.RoleNone
}

// look follows what this host is to others and which units it owns.
func (s *storage) look(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var r roleSeen
	var seen objects.Revision
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.lookAtRole(&r)
		seen = s.lookAtUnits(seen, r.role)
	}
}

// roleSeen is what the dispatcher was last set to.
type roleSeen struct {
	role      slots.DispatchRole
	uncertain bool
	entries   int
}

func (s *storage) lookAtRole(r *roleSeen) {
	if uncertain := !s.keeper.LeaseValid(); uncertain != r.uncertain {
		r.uncertain = uncertain
		s.dispatcher.SetLeaseUncertain(uncertain)
	}
	role, entries := s.role(), s.place.EntryHosts()
	if role == r.role && entries == r.entries {
		return
	}
	if role < r.role {
		s.dispatcher.DisconnectAll()
	}
	s.dispatcher.SetStandby(role == slots.RoleStandby, entries)
	if role != r.role {
		log.WithFields(log.Fields{"role": role.String(), "before": r.role.String(), "uncertain": r.uncertain}).Info("role among the hosts changed")
	}
	r.role, r.entries = role, entries
}

func (s *storage) lookAtUnits(seen objects.Revision, role slots.DispatchRole) objects.Revision {
	m, at := s.view.Map()
	if at == seen {
		return seen
	}
	owned := make(map[jobs.Shard]ids.Epoch)
	for n := jobs.Shard(0); n < jobs.Shards; n++ {
		if o := m.Units[ownership.Unit(n.Name())]; o.Host == s.world.Settings.Host {
			owned[n] = o.Epoch
		}
	}
	s.owner.SetShards(owned)
	if role != slots.RoleNone || len(owned) > 0 {
		log.WithFields(log.Fields{"revision": at, "shards": len(owned), "role": role.String()}).Info("units owned")
	}
	return at
}
