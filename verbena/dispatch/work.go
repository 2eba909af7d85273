package dispatch

import (
	"container/heap"
	"math"
	"sort"
	"time"
)

// giveUpShare is from how many times its run time before it is given up an item is no longer put off.
const giveUpShare = 4

// work is a batch item that runs or waits.
type work struct {
	due    time.Time
	giveUp time.Time
	left   time.Duration
	late   *bool
}

// putOff marks the items that are put off, given the number of slots.
func putOff(now time.Time, all []work, slots float64) {
	sort.SliceStable(all, func(i, j int) bool { return all[i].due.Before(all[j].due) })
	slots = math.Max(1, slots)
	var kept longest
	total := time.Duration(0)
	for i := range all {
		w := &all[i]
		*w.late = false
		if now.Add(giveUpShare * w.left).After(w.giveUp) {
			continue
		}
		if now.Add(w.left).After(w.due) {
			*w.late = true
			continue
		}
		heap.Push(&kept, w)
		total += w.left
		for len(kept) > 0 && now.Add(time.Duration(float64(total)/slots)).After(w.due) {
			o := heap.Pop(&kept).(*work)
			*o.late = true
			total -= o.left
		}
	}
}
