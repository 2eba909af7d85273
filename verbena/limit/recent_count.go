package limit

import "time"

const (
	// windowTime is the window in which servers count their requests.
	windowTime = 4 * time.Second
	// windowIntervals is the number of intervals that are counted separately: those of the window and the current one.
	windowIntervals = 17
	windowInterval  = windowTime / (windowIntervals - 1)
)

// RecentCount counts requests within windowTime, and up to windowInterval longer.
type RecentCount struct {
	// start is the time of the first request. Times since then don't change when the time of day is set.
	start     time.Time
	intervals [windowIntervals]intervalCount
}

type intervalCount struct {
	number int64
	count  int
}

// Add counts requests.
func (c *RecentCount) Add(now time.Time, requests int) {
	if c.start.IsZero() {
		c.start = now
	}
	n := int64(max(0, now.Sub(c.start)) / windowInterval)
	iv := &c.intervals[n%windowIntervals]
	if iv.number != n {
		*iv = intervalCount{number: n}
	}
	iv.count += requests
}

// Count returns the number of requests.
func (c *RecentCount) Count(now time.Time) (n int) {
	oldest := int64((now.Sub(c.start) - windowTime) / windowInterval)
	for _, iv := range c.intervals {
		if iv.number >= oldest {
			n += iv.count
		}
	}
	return n
}
