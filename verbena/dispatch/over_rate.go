package dispatch

import "time"

// takeToken counts the request against its workspace's rate and refuses it if the rate is exceeded.
func (sc *Scheduler) takeToken(now time.Time, w *waiter) bool {
	if sc.reservations.expiryDue(now) {
		sc.reservations.removeExpired(now)
		sc.applyReservations(now)
	}
	b, ok := sc.buckets[w.request.Workspace]
	if ok && w.request.Retry {
		b.takeOnCredit(now)
		sc.admissions.Add(now, thisPlacer, w.request.Workspace, 1)
	}
	if !ok || !w.request.Metered {
		return true
	}
	if ok, wait := b.take(now); !ok {
		sc.commands = append(sc.commands, Refuse{
			Key: w.key, Reason: OverRate, RetryAfter: sc.overRateRetryAfter(now, b, w, wait),
			Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)),
		})
		return false
	}
	sc.admissions.Add(now, thisPlacer, w.request.Workspace, 1)
	return true
}

// overRateRetryAfter returns the time after which a caller refused for its workspace's rate should retry, and counts on its
// return. wait is the time until the next token. Those that were refused before and have yet to retry get the tokens before
// this one: otherwise all would return for the same token, and all but one be refused again. No token is held back for them.
func (sc *Scheduler) overRateRetryAfter(now time.Time, b *bucket, w *waiter, wait time.Duration) time.Duration {
	if sc.disabled[CountReturning] || b.rate.PerSecond <= 0 {
		return clampRetryAfter(wait, w.request.Remaining)
	}
	wait += time.Duration(float64(b.returning.count(now)) / b.rate.PerSecond * float64(time.Second))
	d := clampRetryAfter(wait, w.request.Remaining)
	if wait <= maxRetryAfter { // beyond that, further callers would change no time, but make each count longer
		b.returning.add(now, d)
	}
	return d
}
