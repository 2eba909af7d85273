package dispatch

import "time"

// returns are the moments at which callers who were sent away were told to come back, in no order. Each of them holds a
// place: the next one is told a time at which those are served as well.
type returns []time.Time

// add notes a caller that was sent away.
func (r *returns) add(now time.Time, later time.Duration) {
	r.forget(now)
	*r = append(*r, now.Add(later))
}

// count is how many are still away.
func (r *returns) count(now time.Time) int {
	r.forget(now)
	return len(*r)
}

func (r *returns) forget(now time.Time) {
	kept := (*r)[:0]
	for _, at := range *r {
		if at.After(now) {
			kept = append(kept, at)
		}
	}
	*r = kept
}
