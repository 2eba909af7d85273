package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// admissionWindow is how far back a host reports what it was admitted elsewhere: the window in which rates are checked.
	admissionWindow = 5 * time.Second
	// admissionIntervals is the number of intervals that are counted separately: those of the window and the current one.
	admissionIntervals = 11
	admissionInterval  = admissionWindow / (admissionIntervals - 1)
)

// AdmissionCounts counts the requests admitted within admissionWindow, by placer: the dispatcher, its standby or the host
// itself, whichever admitted them. The next placer takes into account what the others admitted: a burst that was used at
// one of them isn't available again at another.
type AdmissionCounts struct {
	// start is the time of the first request. Times since then don't change when the time of day is set.
	start     time.Time
	intervals [admissionIntervals]intervalCounts
}

type intervalCounts struct {
	number int64
	counts map[placerWorkspace]int
}

type placerWorkspace struct {
	placer    int
	workspace ids.WorkspaceID
}

// interval returns the number of the interval at a time.
func (a *AdmissionCounts) interval(at time.Time) int64 {
	return int64(at.Sub(a.start) / admissionInterval)
}

// Add counts requests that a placer admitted.
func (a *AdmissionCounts) Add(now time.Time, placer int, w ids.WorkspaceID, requests int) {
	if a.start.IsZero() {
		a.start = now
	}
	n := max(0, a.interval(now))
	iv := &a.intervals[n%admissionIntervals]
	if iv.number != n || iv.counts == nil {
		*iv = intervalCounts{number: n, counts: make(map[placerWorkspace]int)}
	}
	iv.counts[placerWorkspace{placer, w}] += requests
}

// Total returns how many requests of a workspace were admitted within admissionWindow, by thisPlacer and otherPlacers. It
// is for the counts of a Scheduler, which uses only these two.
func (a *AdmissionCounts) Total(now time.Time, w ids.WorkspaceID) (n int) {
	oldest := a.interval(now.Add(-admissionWindow))
	for _, iv := range a.intervals {
		if iv.number < oldest {
			continue
		}
		n += iv.counts[placerWorkspace{thisPlacer, w}] + iv.counts[placerWorkspace{otherPlacers, w}]
	}
	return n
}

// The placers in the counts of a Scheduler: itself, and all others together.
const (
	thisPlacer = iota
	otherPlacers
)

// ByOthers returns how many requests of each workspace other placers than the given one have admitted within
// admissionWindow and since the given time, that of the last report to the placer.
func (a *AdmissionCounts) ByOthers(now, since time.Time, placer int) map[ids.WorkspaceID]int {
	if earliest := now.Add(-admissionWindow); since.Before(earliest) {
		since = earliest
	}
	oldest := a.interval(since)
	sums := make(map[ids.WorkspaceID]int)
	for _, iv := range a.intervals {
		if iv.number < oldest {
			continue
		}
		for k, n := range iv.counts {
			if k.placer != placer {
				sums[k.workspace] += n
			}
		}
	}
	return sums
}
