package dispatch

import "time"

// longestWait is how long the request may wait: until it can start in time, or, for a caller that was refused before, as long
// as an answer is likely before its time ends.
func (p *pool) longestWait(now time.Time, w *waiter) time.Duration {
	limit := w.due.Sub(now)
	if w.isReturning() {
		limit = max(limit, w.deadline.Sub(now)-p.holdTime()-p.firstByteTime())
	}
	return limit
}

// retryAfter returns the time after which a refused caller should retry, and counts on its return.
func (sc *Scheduler) retryAfter(now time.Time, p *pool, c capacity, w *waiter, wait, room time.Duration) time.Duration {
	if !sc.disabled[CountReturning] && w.resumption == nil {
		wait = c.queueTime(len(p.onlineQueue) + p.returning.count(now) + 1)
	}
	d := clampRetryAfter(max(wait, room), w.request.Remaining)
	p.returning.add(now, d)
	return d
}

// clampRetryAfter limits a retry time to minRetryAfter, maxRetryAfter and what the caller honours.
func clampRetryAfter(d, remaining time.Duration) time.Duration {
	upper := max(minRetryAfter, min(maxRetryAfter, time.Duration(retryAfterShare*float64(remaining))))
	return min(max(d, minRetryAfter), upper)
}
