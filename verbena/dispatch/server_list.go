package dispatch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

func (sc *Scheduler) setServers(now time.Time, e ServersChanged) {
	sc.versions.Observe(now, e.Servers)
	sc.origins.ObserveServers(now, e.Servers, sc.list.currentFor)
	for id, s := range sc.servers {
		if _, ok := e.Servers[id]; !ok {
			s.delisted = true
			if s.usedSlots == 0 {
				sc.removeServer(now, s)
			}
		}
	}
	added := false
	for id, listed := range e.Servers {
		s, ok := sc.servers[id]
		if ok && s.Service != listed.Service {
			sc.removeFromPool(s)
		}
		if !ok {
			s = &server{speed: 1, disabled: sc.disabled, coldUntil: now.Add(listed.WarmupRemaining), slotShare: sc.slotShare, tieBreak: sc.tieBreakOf(id)}
			sc.servers[id] = s
			s.ID = id
			sc.restoreLimit(now, s)
			sc.initColdBudget(now, s, listed.Service)
		}
		if s.Incarnation != listed.Incarnation {
			s.reset(now, listed.WarmupRemaining)
		}
		sc.observeCold(now, s, listed)
		s.observePromptsHeld(listed)
		isNew := !ok || s.Service != listed.Service
		s.Server, s.delisted = listed, false
		if isNew {
			p := sc.pool(listed.Service)
			p.servers = append(p.servers, s)
			added = true
		}
	}
	for _, p := range sc.pools {
		sc.refuseVersionsGone(now, p)
		if !added {
			continue
		}
		sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].before(p.servers[j]) })
	}
	sc.servePools(now)
}

// tieBreakOf returns a server's rank among equal servers. It differs by salt, so that hosts that decide locally don't
// all choose the same server first.
func (sc *Scheduler) tieBreakOf(id ids.BackendID) uint64 {
	if sc.salt == "" {
		return 0
	}
	return xxhash.Sum64String(sc.salt + string(id))
}

func (sc *Scheduler) removeServer(now time.Time, s *server) {
	delete(sc.servers, s.ID)
	s.prompts.forget()
	sc.keepDepartedLimit(now, s.ID, s.limit)
	sc.removeFromPool(s)
}

func (sc *Scheduler) removeFromPool(s *server) {
	p := sc.pool(s.Service)
	if p.reserved.server == s {
		p.dropReservation(p.reserved.waiter)
	}
	for i, o := range p.servers {
		if o == s {
			p.servers = append(p.servers[:i], p.servers[i+1:]...)
			return
		}
	}
}
