package dispatch

import (
	"math"
	"sort"
	"time"

	"verbenaledge.example/verbena/fairness"
	"verbenaledge.example/verbena/ids"
)

// sharesInterval is the minimum time between two changes of which workspaces are beyond their share: each of them sorts the
// queue and passes over all servers.
const sharesInterval = 100 * time.Millisecond

// minLeftShare bounds leftShare, so that the estimate of a wait stays finite.
const minLeftShare = 0.05

// shares tells which workspaces use more than their share of a service's slots. It handles the load in which one workspace
// sends several times its part while others send little and there are fewer slots than wanted: in order of due times only,
// the requests of all would wait behind, or be refused for, those of that one. A service has one for callers' requests and
// one for batch items, since items only use what callers leave, and yield it.
type shares struct {
	account fairness.Account
	// inForce is set while room is short and at least two workspaces want it; beyond are those beyond their share as of
	// decidedAt.
	inForce   bool
	beyond    map[ids.WorkspaceID]bool
	decidedAt time.Time
	// leftShare is the share of the slots that the others leave to those beyond their share.
	leftShare float64
	// capacity is that for callers' requests as of decidedAt. A further pass over all servers for each event costs as much as
	// the rest of a decision.
	capacity capacity
	// checkedAt is when it was last checked whether items want more than is free.
	checkedAt time.Time
}

// decide determines again which workspaces are beyond their share of the slots.
func (s *shares) decide(now time.Time, slots float64, waiting map[ids.WorkspaceID]int, rates map[ids.WorkspaceID]Rate) {
	s.inForce, s.decidedAt = true, now
	var left float64
	s.beyond, left = s.account.Beyond(now, slots, waiting, func(w ids.WorkspaceID) (weight float64, ok bool) {
		r, ok := rates[w]
		return r.PerSecond, ok
	})
	s.leftShare = 1
	if slots > 0 {
		s.leftShare = math.Max(minLeftShare, left/slots)
	}
}

// end returns to the order of due times. It reports whether another order was in force.
func (s *shares) end() (wasInForce bool) {
	wasInForce = s.inForce
	s.inForce, s.beyond = false, nil
	return wasInForce
}

// mostUsing returns the workspace that uses the most of those beyond their share; it is empty if there are none.
func (s *shares) mostUsing(now time.Time) (most ids.WorkspaceID) {
	for w := range s.beyond {
		use, mostUse := s.account.Use(now, w), s.account.Use(now, most)
		if most == "" || use > mostUse || use == mostUse && w < most {
			most = w
		}
	}
	return most
}

// standing returns a workspace's standing; those without a rate take no part.
func (s *shares) standing(w ids.WorkspaceID, rates map[ids.WorkspaceID]Rate) fairness.Standing {
	if !s.inForce {
		return fairness.None
	}
	if s.beyond[w] {
		return fairness.Beyond
	}
	if _, ok := rates[w]; ok {
		return fairness.Within
	}
	return fairness.None
}

// capacityFor returns what is left of a capacity to a request. Those of workspaces beyond their share go behind the ones of
// others that wait and also behind those that are yet to come: only what the others leave is theirs.
func (s *shares) capacityFor(w *waiter, c capacity) capacity {
	if w.standing == fairness.Beyond && w.resumption == nil {
		c.effective *= s.leftShare
		c.slots *= s.leftShare
	}
	return c
}

// sharesOf returns the shares for requests of a class.
func (p *pool) sharesOf(class Class) *shares {
	if class == Batch {
		return &p.batchShares
	}
	return &p.callerShares
}

// updateCallerShares decides which callers' requests go first while more wait than there are free slots. incoming is a request
// that isn't in the queue yet, or nil. While no other order is in force, one comes into force at once: the first request of
// a workspace that sends little must not be refused for a queue of another.
func (sc *Scheduler) updateCallerShares(now time.Time, p *pool, incoming *waiter) {
	s := &p.callerShares
	if !sc.disabled[FairRoom] && now.Sub(s.decidedAt) >= sharesInterval {
		sc.decideCallerShares(now, p, incoming)
	}
	if incoming != nil {
		incoming.standing = s.standing(incoming.request.Workspace, sc.rates)
	}
}

func (sc *Scheduler) decideCallerShares(now time.Time, p *pool, incoming *waiter) {
	s := &p.callerShares
	wanting := p.onlineQueue
	if incoming != nil {
		wanting = append(wanting[:len(wanting):len(wanting)], incoming)
	}
	if !sc.wantedByTwo(wanting) {
		if s.end() {
			p.onlineQueue.applyShares(s, sc.rates)
		}
		return
	}
	slots, free := p.callerSlots(now)
	if len(wanting) <= free {
		if s.end() {
			p.onlineQueue.applyShares(s, sc.rates)
		}
		return
	}
	s.capacity = p.capacity(now)
	s.decide(now, float64(slots), wanting.countByWorkspace(), sc.rates)
	p.onlineQueue.applyShares(s, sc.rates)
}

// callerSlots returns how many slots callers' requests use or could take now, from items or free ones. Servers that can't
// take requests have none; of those with a limit, and of other schedulers' slots, only what is used or free counts.
func (p *pool) callerSlots(now time.Time) (slots, free int) {
	for _, s := range p.servers {
		if s.usable(now) {
			free += max(0, s.freeSlots(now))
			slots += s.usedSlots - s.yieldingSlots
		}
	}
	return slots + free, free
}

// wantedByTwo reports whether at least two workspaces that have a rate wait.
func (sc *Scheduler) wantedByTwo(q queue) bool {
	var first *waiter
	for _, w := range q {
		if first != nil && first.request.Workspace == w.request.Workspace {
			continue
		}
		if _, ok := sc.rates[w.request.Workspace]; !ok {
			continue
		}
		if first != nil {
			return true
		}
		first = w
	}
	return false
}

func (q queue) countByWorkspace() map[ids.WorkspaceID]int {
	counts := make(map[ids.WorkspaceID]int)
	for _, w := range q {
		counts[w.request.Workspace]++
	}
	return counts
}

// applyShares sets the standing of all waiting requests and orders them by it.
func (q queue) applyShares(s *shares, rates map[ids.WorkspaceID]Rate) {
	changed := false
	for _, w := range q {
		standing := s.standing(w.request.Workspace, rates)
		changed = changed || standing != w.standing
		w.standing = standing
	}
	if changed {
		sort.Slice(q, func(i, j int) bool { return waitsBefore(q[i], q[j]) })
	}
}
