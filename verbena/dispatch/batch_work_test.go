package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDeferLateKeepsMostInTime compares with every possible choice of a few items: the kept items are in time, and no
// other choice has more of them in time.
func TestDeferLateKeepsMostInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		n := rapid.IntRange(1, 9).Draw(t, "items")
		all := make([]batchWork, n)
		marks := make([]bool, n)
		for i := range all {
			all[i] = batchWork{
				due: now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "due")) * time.Millisecond), deadline: now.Add(time.Hour),
				runTime: time.Duration(rapid.IntRange(1, 1500).Draw(t, "left")) * time.Millisecond, deferred: &marks[i],
			}
		}
		deferLate(now, all, float64(slots)) // sorts all by due time
		var chosen uint
		kept := 0
		for i, w := range all {
			if !*w.deferred {
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

// feasible reports whether all chosen items can be in time on the given number of slots. all must be sorted by due time.
func feasible(now time.Time, all []batchWork, chosen uint, slots int) bool {
	total := time.Duration(0)
	for i, w := range all {
		if chosen>>i&1 == 0 {
			continue
		}
		total += w.runTime
		if now.Add(w.runTime).After(w.due) || now.Add(time.Duration(float64(total)/float64(slots))).After(w.due) {
			return false
		}
	}
	return true
}
