package dispatch

import (
	"time"

	"verbenaledge.example/verbena/origin"
)

// refuseVersionsGone refuses the resumed streams that wait for a version of which no server is left.
func (sc *Scheduler) refuseVersionsGone(now time.Time, p *pool) {
	gone := make(map[origin.Origin]bool)
	for i := 0; i < len(p.onlineQueue); {
		w := p.onlineQueue[i]
		if w.resumption == nil {
			i++
			continue
		}
		o := w.request.Resumption.Origin
		if _, known := gone[o]; !known {
			gone[o] = p.presentServersFor(w.request) == 0
		}
		if !gone[o] {
			i++
			continue
		}
		sc.removeWaiting(w)
		sc.refuse(now, w, NoServerOfVersion, sc.versionRetryAfter(now, w))
	}
}

// versionRetryAfter returns the Retry-After of a stream whose version has no server, 0 for none: crashed servers start
// again, those that were replaced don't.
func (sc *Scheduler) versionRetryAfter(now time.Time, w *waiter) time.Duration {
	o := w.request.Resumption.Origin
	if age, ok := sc.versions.LastListed(now, o); ok && age < versionReturnTime && !w.pool.hasVersion(o.Version) {
		return clampRetryAfter(noServerRetryAfter, w.request.Remaining)
	}
	return 0
}
