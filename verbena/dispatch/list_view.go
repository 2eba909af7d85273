package dispatch

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
)

// listView is how current the scheduler's list of servers is.
type listView struct {
	outdated bool
	// confirmedAt is when the store last confirmed the list, zero if it hasn't yet.
	confirmedAt time.Time
	// currentFor is for how long the list has been current, 0 while it is outdated.
	currentFor time.Duration
}

// ObserveList sets how current the list of servers is. It is called before each Step; without it, the list is outdated.
func (sc *Scheduler) ObserveList(now time.Time, l directory.ListState) {
	sc.list = listView{outdated: l.Outdated()}
	if l.Age >= 0 {
		sc.list.confirmedAt = now.Add(-l.Age)
	}
	if !sc.list.outdated {
		sc.list.currentFor = l.CurrentFor
	}
	sc.origins.ObserveList(sc.list.outdated)
}

// versionsUncertain reports whether a service's servers may run as other software versions than their entries say: a server
// may start again under its id, which an outdated list doesn't show. A service that had only one version before is taken to
// have no other since, except by a host that decides locally: it doesn't learn how servers fail at other hosts.
func (sc *Scheduler) versionsUncertain(now time.Time, service ids.ServiceName) bool {
	if !sc.list.outdated {
		return false
	}
	_, sole := sc.versions.Sole(now, service)
	return !sole || sc.local()
}

// versionUncertain reports the same of one server, which may also have failed since the list was confirmed.
func (sc *Scheduler) versionUncertain(now time.Time, s *server) bool {
	return sc.list.outdated && (s.lastFailure.After(sc.list.confirmedAt) || sc.versionsUncertain(now, s.Service))
}

// needsNewerList reports whether a stream of a service may be resumed only once the list has been confirmed after the stream
// came. The list of a standby came through the dispatcher that failed, and neither a standby nor a host that decides locally
// knows how servers have failed elsewhere: a list that counts as current may not show that a server has started again as
// another version. A service that has had one version is taken to have no other.
func (sc *Scheduler) needsNewerList(now time.Time, service ids.ServiceName) bool {
	return (sc.local() || sc.reservations.standby) && sc.versions.Several(now, service)
}

// awaitsList reports whether the request must wait until the list of servers is confirmed.
func (w *waiter) awaitsList() bool { return w.list != nil && w.list.confirmedAt.Before(w.since) }

// refuseUncertain refuses the resumed streams that wait while the list of servers has become outdated, and those that have
// waited for a list which makes their origin uncertain. Those of a service with one version go on waiting for servers that
// haven't failed since.
func (sc *Scheduler) refuseUncertain(now time.Time, p *pool) {
	for i := 0; i < len(p.onlineQueue); {
		w := p.onlineQueue[i]
		if w.resumption == nil {
			i++
			continue
		}
		w.request.ListOutdated, w.request.ListConfirmedAt = sc.list.outdated, sc.list.confirmedAt
		switch {
		case sc.versionsUncertain(now, w.request.Service):
			sc.removeWaiting(w)
			sc.refuse(now, w, VersionsUncertain, clampRetryAfter(unknownRetryAfter, w.deadline.Sub(now)))
		case sc.originRefuted(now, w):
			sc.removeWaiting(w)
			sc.refundToken(w.request)
			sc.refuseUnknown(now, w)
		default:
			i++
		}
	}
}

// originRefuted reports whether the list for which a stream has waited made the record of its origin uncertain.
func (sc *Scheduler) originRefuted(now time.Time, w *waiter) bool {
	if w.list == nil || w.awaitsList() {
		return false
	}
	o, _, ok := sc.origins.Lookup(now, w.request.Resumption.Stream, sc.list.currentFor)
	if ok {
		return false
	}
	return w.resumption.Evidence == Recorded || o != (origin.Origin{})
}
