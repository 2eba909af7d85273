package dispatch

import (
	"time"

	"verbenaledge.example/verbena/cold"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

// setTraits applies the traits of all services.
func (sc *Scheduler) setTraits(now time.Time, traits map[ids.ServiceName]ServiceTraits) {
	sc.traits = traits
	sc.setMemory(now)
	for _, s := range sc.servers {
		s.cold.SetBound(sc.coldBound(s.Service))
		s.cold.SetShare(now, sc.coldShareOf(s.ID, s.Service), sc.local())
		if s.cold.IsBounded() && now.Before(s.coldUntil) {
			s.cold.Begin(now, s.coldUntil) // its entry was read before the configuration
		}
	}
	sc.servePools(now)
}

func (sc *Scheduler) coldBound(service ids.ServiceName) cold.Bound {
	if sc.disabled[ColdBudget] {
		return cold.Bound{}
	}
	return sc.traits[service].Cold
}

// initColdBudget prepares the budget of a server that wasn't listed before.
func (sc *Scheduler) initColdBudget(now time.Time, s *server, service ids.ServiceName) {
	s.cold.SetBound(sc.coldBound(service))
	s.cold.SetShare(now, sc.coldShareOf(s.ID, service), sc.local())
}

// observeCold applies what a server's new entry says of its cold phase. The entry of a server that is cold changes with each
// registration, so one that hasn't changed says nothing new. After an evacuation a server counts as cold until it says otherwise.
func (sc *Scheduler) observeCold(now time.Time, s *server, listed directory.Server) {
	if s.Service != listed.Service {
		s.cold.SetBound(sc.coldBound(listed.Service))
	}
	if !s.cold.IsBounded() {
		return
	}
	if s.Revision != listed.Revision || s.Incarnation != listed.Incarnation {
		s.setCold(now, listed.WarmupRemaining)
	}
	if s.Evacuated && !listed.Evacuated {
		s.setCold(now, max(listed.WarmupRemaining, sc.traits[listed.Service].ColdTime))
	}
}

// setCold records for how much longer the server is cold.
func (s *server) setCold(now time.Time, remaining time.Duration) {
	s.coldUntil = now.Add(remaining)
	if remaining <= 0 {
		s.cold.End()
		return
	}
	s.cold.Begin(now, s.coldUntil)
}

// coldShareOf returns the part of a cold server's rate that this scheduler may use.
func (sc *Scheduler) coldShareOf(id ids.BackendID, service ids.ServiceName) float64 {
	if sc.local() {
		return sc.hosts.ShareOf(id, limit.RequestsPerSecond(sc.traits[service].Cold.PerSecond))
	}
	return sc.reservations.connectedShare()
}

// emptyColdBudgets takes all tokens: other schedulers may have placed requests on cold servers so far.
func (sc *Scheduler) emptyColdBudgets(now time.Time) {
	for _, s := range sc.servers {
		s.cold.Empty(now)
	}
}
