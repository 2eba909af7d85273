package dispatch

import (
	"container/heap"
	"math"
	"sort"
	"time"
)

// noDeferFactor limits deferral: an item that will be given up within this many times its remaining run time isn't deferred.
const noDeferFactor = 4

// batchWork is a running or waiting batch item in a plan.
type batchWork struct {
	due time.Time
	// deadline is when the item is given up.
	deadline time.Time
	// runTime is how much longer the item is expected to run; 0 means that it isn't known.
	runTime  time.Duration
	deferred *bool
}

// deferLate sets the deferred mark of each item, by the Moore-Hodgson algorithm: in order of due times, whenever an item
// would be late on the given number of slots, the longest item so far is deferred.
func deferLate(now time.Time, all []batchWork, slots float64) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].due.Before(all[j].due) })
	slots = math.Max(1, slots)
	var kept longestFirst
	total := time.Duration(0)
	for i := range all {
		w := &all[i]
		*w.deferred = false
		if now.Add(noDeferFactor * w.runTime).After(w.deadline) {
			continue
		}
		if now.Add(w.runTime).After(w.due) {
			*w.deferred = true
			continue
		}
		heap.Push(&kept, w)
		total += w.runTime
		for len(kept) > 0 && now.Add(time.Duration(float64(total)/slots)).After(w.due) {
			o := heap.Pop(&kept).(*batchWork)
			*o.deferred = true
			total -= o.runTime
		}
	}
}
