package dispatch

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/memory"
)

// fewestByTrial tries all sets of items that are given in the order in which they yield.
func fewestByTrial(items []*run, lacking memory.Tokens) (best []*run) {
	for chosen := range 1 << len(items) {
		if best != nil && bits.OnesCount(uint(chosen)) > len(best) {
			continue
		}
		var set []*run
		sum := memory.Tokens(0)
		for i, r := range items {
			if chosen&(1<<i) != 0 {
				set, sum = append(set, r), sum+r.request.Footprint.Own
			}
		}
		if sum < lacking || len(set) == 0 {
			continue
		}
		byOrder := func(a, b *run) int { return slices.Index(items, a) - slices.Index(items, b) }
		if best == nil || len(set) < len(best) || slices.CompareFunc(set, best, byOrder) < 0 {
			best = set
		}
	}
	return best
}

// TestYieldingSet guards against more items that yield than a request needs, and against others than those that yield first.
func TestYieldingSet(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for n := range 2000 {
		items := make([]*run, random.IntN(8))
		for i := range items {
			r := &run{key: Key{Host: "f1", Ticket: Ticket(i)}, due: time.Unix(int64(1000-i/2), 0)}
			r.request.Footprint.Own = memory.Tokens(random.IntN(10))
			items[i] = r
		}
		lacking := memory.Tokens(1 + random.IntN(25))
		want := fewestByTrial(items, lacking)
		shuffled := slices.Clone(items)
		random.Shuffle(len(items), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		got := yieldingSet(shuffled, lacking)
		qt.Assert(t, slices.Equal(got, want), qt.IsTrue, qt.Commentf("case %d", n))
	}
}
