package dispatch

import "time"

// returnTimes are the times at which refused callers were told to retry, in no order. Each of them counts as a place in
// the queue, so that the next refused caller gets a time by which those can be served as well.
type returnTimes []time.Time

// add records a refused caller.
func (r *returnTimes) add(now time.Time, retryAfter time.Duration) {
	r.removePast(now)
	*r = append(*r, now.Add(retryAfter))
}

// count returns how many callers have not reached their retry time yet.
func (r *returnTimes) count(now time.Time) int {
	r.removePast(now)
	return len(*r)
}

func (r *returnTimes) removePast(now time.Time) {
	kept := (*r)[:0]
	for _, at := range *r {
		if at.After(now) {
			kept = append(kept, at)
		}
	}
	*r = kept
}
