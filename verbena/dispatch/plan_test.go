package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPutOffLeavesMostInTime compares with all choices of small loads: no other choice has more items in time, and
// those that are kept are in time.
func TestPutOffLeavesMostInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		n := rapid.IntRange(1, 9).Draw(t, "items")
		all := make([]work, n)
		marks := make([]bool, n)
		for i := range all {
			all[i] = work{
				due: now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "due")) * time.Millisecond), giveUp: now.Add(time.Hour),
				left: time.Duration(rapid.IntRange(1, 1500).Draw(t, "left")) * time.Millisecond, late: &marks[i],
			}
		}
		putOff(now, all, float64(slots)) // all is in the order of due times from here on
		var chosen uint
		kept := 0
		for i, w := range all {
			if !*w.late {
				chosen |= 1 << i
				kept++
			}
		}
		if !feasible(now, all, chosen, slots) {
			t.Fatalf("kept items are late: %b of %v", chosen, all)
		}
		for other := range uint(1) << n {
			if feasible(now, all, other, slots) {
				count := 0
				for i := range all {
					count += int(other >> i & 1)
				}
				if count > kept {
					t.Fatalf("%d items kept, %d can be in time: %b of %v", kept, count, other, all)
				}
			}
		}
	})
}

// feasible tells whether the chosen items, which are in the order of due times, are in time on so many slots.
func feasible(now time.Time, all []work, chosen uint, slots int) bool {
	total := time.Duration(0)
	for i, w := range all {
		if chosen>>i&1 == 0 {
			continue
		}
		total += w.left
		if now.Add(w.left).After(w.due) || now.Add(time.Duration(float64(total)/float64(slots))).After(w.due) {
			return false
		}
	}
	return true
}
