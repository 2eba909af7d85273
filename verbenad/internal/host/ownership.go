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

// role returns this host's role for hosts that request slots.
func (s *storage) role() slots.DispatchRole {
	switch {
	case s.coordinator.MayDispatch():
		return slots.RoleDispatcher
	case s.coordinator.IsStandby():
		return slots.RoleStandby
	}
	return slots.RoleNone
}

// pollOwnership applies changes of this host's role and of the shards that it owns, until the context ends.
func (s *storage) pollOwnership(ctx context.Context) {
	t := time.NewTicker(ownershipPollInterval)
	defer t.Stop()
	var applied appliedRole
	var revision objects.Revision
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.applyRole(&applied)
		revision = s.applyShards(revision, applied.role)
	}
}

// appliedRole is what was last applied to the dispatcher.
type appliedRole struct {
	role       slots.DispatchRole
	uncertain  bool
	entryHosts int
}

// applyRole applies changes of the role, of the lease's validity and of the number of entry hosts to the dispatcher.
func (s *storage) applyRole(applied *appliedRole) {
	if uncertain := !s.coordinator.LeaseValid(); uncertain != applied.uncertain {
		applied.uncertain = uncertain
		s.dispatcher.SetLeaseUncertain(uncertain)
	}
	role, entryHosts := s.role(), s.slotClient.EntryHosts()
	if role == applied.role && entryHosts == applied.entryHosts {
		return
	}
	if role < applied.role {
		s.dispatcher.DisconnectAll()
	}
	s.dispatcher.SetStandby(role == slots.RoleStandby, entryHosts)
	if role != applied.role {
		log.WithFields(log.Fields{"role": role.String(), "before": applied.role.String(), "uncertain": applied.uncertain}).Info("role among the hosts changed")
	}
	applied.role, applied.entryHosts = role, entryHosts
}

// applyShards sets the owned shards if the owner map has changed since the applied revision. It returns the new revision.
func (s *storage) applyShards(applied objects.Revision, role slots.DispatchRole) objects.Revision {
	m, revision := s.ownerMap.Map()
	if revision == applied {
		return applied
	}
	owned := make(map[jobs.Shard]ids.Epoch)
	for n := jobs.Shard(0); n < jobs.Shards; n++ {
		if owner := m.Units[ownership.Unit(n.Name())]; owner.Host == s.env.Settings.Host {
			owned[n] = owner.Epoch
		}
	}
	s.jobOwner.SetShards(owned)
	if role != slots.RoleNone || len(owned) > 0 {
		log.WithFields(log.Fields{"revision": revision, "shards": len(owned), "role": role.String()}).Info("units owned")
	}
	return revision
}
