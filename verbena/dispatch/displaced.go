package dispatch

import (
	"time"

	"verbenaledge.example/verbena/fairness"
)

// displacedRefusalShare is the share of its objective within which a waiting request may still be refused because others go
// before it: callers that learn it early can turn elsewhere, and those that have waited longer are kept.
const displacedRefusalShare = 0.25

// refuseDisplaced refuses waiting requests of workspaces beyond their share that can't start in time any more, because
// requests of other workspaces that are due later came or went before them.
func (sc *Scheduler) refuseDisplaced(now time.Time, p *pool) {
	if len(p.callerShares.beyond) == 0 || sc.disabled[EarlyRefusal] {
		return
	}
	c := p.callerShares.capacity
	if c.effective == 0 {
		return
	}
	var lastWithin *waiter
	position := 0
	for i := 0; i < len(p.onlineQueue); {
		w := p.onlineQueue[i]
		i++
		if now.After(w.due) {
			continue // late requests go after all others, and are refused by refuseExpired
		}
		position++
		if w.standing != fairness.Beyond {
			lastWithin = w
			continue
		}
		if !w.mayBeRefusedDisplaced(now) || !w.isDisplacedBy(lastWithin) {
			continue
		}
		left := p.callerShares.capacityFor(w, c)
		if wait := left.queueTime(position); wait > p.longestWait(now, w) {
			i--
			position--
			sc.removeWaiting(w)
			sc.refuse(now, w, Overload, sc.retryAfter(now, p, left, w, wait, 0))
		}
	}
}

// mayBeRefusedDisplaced reports whether the request has waited for a short time only. Resumed streams are kept: their callers
// have a part of the answer.
func (w *waiter) mayBeRefusedDisplaced(now time.Time) bool {
	return w.resumption == nil && float64(now.Sub(w.since)) < displacedRefusalShare*float64(w.request.Objective)
}

// isDisplacedBy reports whether the last request before it of a workspace within its share is due later.
func (w *waiter) isDisplacedBy(lastWithin *waiter) bool {
	return lastWithin != nil && lastWithin.request.Priority == w.request.Priority && w.due.Before(lastWithin.due)
}
