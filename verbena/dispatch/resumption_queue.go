package dispatch

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/origin"
)

// serversToResumeAt returns the servers of a version that have a free slot or run a batch item that can yield its slot.
func (p *pool) serversToResumeAt(now time.Time, o origin.Origin) (list []*server) {
	for _, s := range p.servers {
		if s.origin() == o && s.usable(now) && s.freeSlots(now) > 0 {
			list = append(list, s)
		}
	}
	for _, r := range p.batchRuns {
		if s := r.server; !r.yielding && !p.disabled[BatchYields] && s.origin() == o && s.usable(now) {
			list = append(list, s)
		}
	}
	return list
}

// mayUseAny reports whether the waiting request may be sent to one of the servers. Where it may not, a search of all servers
// is spared.
func (w *waiter) mayUseAny(now time.Time, servers []*server) bool {
	return slices.ContainsFunc(servers, func(s *server) bool {
		return w.request.mayRunOn(now, s) && s.failures.suitabilityFor(now, w.key.Host) != unsuitable
	})
}

// mayWaitBehind reports whether the request may have to wait for a slot that the other one gets: a resumed stream gets one
// before new streams, and those of another version don't use its servers.
func (w *waiter) mayWaitBehind(o *waiter) bool {
	return w.resumption == nil || o.resumption != nil && o.request.Resumption.Origin == w.request.Resumption.Origin
}

// resumedPosition counts the resumed streams of an origin that were passed in the queue, and what its servers can do.
type resumedPosition struct {
	ahead    int
	capacity capacity
}

type resumedPositions map[origin.Origin]resumedPosition

// wait passes a resumed stream in the queue. It returns how long a late one is likely to wait for a slot: only those of its
// version go before it.
func (rp resumedPositions) wait(now time.Time, p *pool, w *waiter) time.Duration {
	o := w.request.Resumption.Origin
	position, ok := rp[o]
	if !ok {
		position.capacity = p.capacityFor(now, w.request)
	}
	position.ahead++
	rp[o] = position
	if !now.After(w.due) || position.capacity.effective == 0 || p.disabled[LateRefusal] {
		return 0
	}
	return position.capacity.queueTime(position.ahead)
}

// leave removes a request that leaves the queue from the count.
func (rp resumedPositions) leave(w *waiter) {
	if w.resumption == nil {
		return
	}
	position := rp[w.request.Resumption.Origin]
	position.ahead--
	rp[w.request.Resumption.Origin] = position
}
