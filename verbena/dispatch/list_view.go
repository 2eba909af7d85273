package dispatch

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
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

// refuseUncertain refuses the resumed streams that wait while the list of servers has become outdated. Those of a service
// with one version go on waiting for servers that haven't failed since.
func (sc *Scheduler) refuseUncertain(now time.Time, p *pool) {
	for i := 0; i < len(p.onlineQueue); {
		w := p.onlineQueue[i]
		if w.resumption == nil {
			i++
			continue
		}
		w.request.ListOutdated, w.request.ListConfirmedAt = sc.list.outdated, sc.list.confirmedAt
		if !sc.versionsUncertain(now, w.request.Service) {
			i++
			continue
		}
		sc.removeWaiting(w)
		sc.refuse(now, w, VersionsUncertain, clampRetryAfter(unknownRetryAfter, w.deadline.Sub(now)))
	}
}
