package promptcache

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

var start = time.Unix(1000, 0)

func chainOf(tokens int, parts ...ids.PromptPartID) []Link {
	sizes := make([]int, len(parts))
	for i := range sizes {
		sizes[i] = tokens
	}
	return AppendChain(nil, parts, sizes)
}

// heldBy returns the tokens of a prompt's beginning that a server holds.
func heldBy(x *Index, cache *Cache, chain []Link) int {
	x.Find(chain, 2)
	return cache.Held()
}

// A part that follows other parts must not pass for the same part at the beginning of a prompt, or in another order.
func TestPartsDependOnThoseBefore(t *testing.T) {
	c := qt.New(t)
	x := NewIndex()
	a := x.NewCache()
	a.Begin(start, chainOf(100, "p", "q"), 0, 0)
	c.Assert(heldBy(x, a, chainOf(100, "p", "q", "r")), qt.Equals, 200)
	c.Assert(heldBy(x, a, chainOf(100, "q")), qt.Equals, 0)
	c.Assert(heldBy(x, a, chainOf(100, "q", "p")), qt.Equals, 0)
	c.Assert(heldBy(x, a, chainOf(100, "s", "q")), qt.Equals, 0)
}

// Parts of unknown size must not count, nor those after them.
func TestPartsWithoutSizeEndChain(t *testing.T) {
	c := qt.New(t)
	c.Assert(AppendChain(nil, []ids.PromptPartID{"p", "q", "r"}, []int{10, 0, 10}), qt.HasLen, 1)
	c.Assert(AppendChain(nil, []ids.PromptPartID{"p", "q", "r"}, []int{10, 1 << 62, 1 << 62}), qt.HasLen, 1)
	c.Assert(AppendChain(nil, []ids.PromptPartID{"p", "q"}, nil), qt.HasLen, 0)
}

// What one server holds must not count for another, nor an earlier search for a later one.
func TestSearchTellsServersApart(t *testing.T) {
	c := qt.New(t)
	x := NewIndex()
	a, b := x.NewCache(), x.NewCache()
	a.Begin(start, chainOf(100, "p", "q"), 0, 0)
	b.Begin(start, chainOf(100, "p"), 0, 0)
	f := x.Find(chainOf(100, "p", "q"), 2)
	c.Assert(f, qt.Equals, Found{Most: 200, Least: 100})
	c.Assert([]int{a.Held(), b.Held()}, qt.DeepEquals, []int{200, 100})
	x.Find(chainOf(100, "z"), 2)
	c.Assert([]int{a.Held(), b.Held()}, qt.DeepEquals, []int{0, 0})
}

// Running requests and kept parts share the memory: the least recently used parts go first, and of a prompt the last ones.
func TestMemoryEvictsLeastRecentlyUsed(t *testing.T) {
	c := qt.New(t)
	x := NewIndex()
	a := x.NewCache()
	a.Begin(start, chainOf(100, "p", "q"), 0, 500)
	a.Begin(start.Add(time.Second), chainOf(100, "r"), 0, 500)
	a.Begin(start.Add(2*time.Second), chainOf(100, "s"), 150, 500)
	c.Assert(heldBy(x, a, chainOf(100, "p", "q")), qt.Equals, 100)
	a.Begin(start.Add(3*time.Second), nil, 100, 500)
	c.Assert(heldBy(x, a, chainOf(100, "p")), qt.Equals, 0)
	c.Assert(heldBy(x, a, chainOf(100, "r")), qt.Equals, 100)
	a.End(100)
	a.Begin(start.Add(4*time.Second), chainOf(100, "t"), 0, 500)
	c.Assert(heldBy(x, a, chainOf(100, "r")), qt.Equals, 100) // the ended request left room
}

func TestPartsAreForgotten(t *testing.T) {
	p := chainOf(100, "p")
	for _, test := range []struct {
		name  string
		apply func(a *Cache)
		held  int
	}{
		{"kept within the age", func(a *Cache) { a.Expire(start.Add(MaxAge)) }, 100},
		{"age", func(a *Cache) { a.Expire(start.Add(MaxAge + 1)) }, 0},
		{"age counts from the last use", func(a *Cache) {
			a.Touch(start.Add(time.Second), p)
			a.Expire(start.Add(MaxAge + time.Second))
		}, 100},
		{"restart", func(a *Cache) { a.Clear() }, 0},
		{"not read", func(a *Cache) { a.Forget(p) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x := NewIndex()
			a := x.NewCache()
			a.Begin(start, p, 0, 0)
			test.apply(a)
			c.Assert(heldBy(x, a, p), qt.Equals, test.held)
			c.Assert(a.heldTokens, qt.Equals, test.held)
			c.Assert(len(x.holders) > 0, qt.Equals, test.held > 0)
		})
	}
}

// Callers that name ever new parts must not make the estimate grow.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	x := NewIndex()
	a := x.NewCache()
	for i := range 10_000 {
		a.Begin(start, chainOf(1, ids.PromptPartID(rune('a'+i))), 0, 0)
	}
	c.Assert(a.held, qt.HasLen, maxParts)
	c.Assert(x.holders, qt.HasLen, maxParts)
}

// Random operations must leave the index and the servers' lists consistent.
func TestIndexFollowsCaches(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewSource(1))
	x := NewIndex()
	caches := []*Cache{x.NewCache(), x.NewCache(), x.NewCache()}
	now := start
	for range 5000 {
		now = now.Add(time.Duration(random.Intn(2000)) * time.Millisecond)
		a := caches[random.Intn(len(caches))]
		p := chainOf(1+random.Intn(50), ids.PromptPartID(rune('a'+random.Intn(20))), ids.PromptPartID(rune('a'+random.Intn(20))))
		switch random.Intn(8) {
		case 0:
			a.Forget(p)
		case 1:
			a.Expire(now)
		case 2:
			if random.Intn(20) == 0 {
				a.Clear()
			}
		default:
			a.Begin(now, p, 0, 400)
		}
	}
	entries, listed := 0, 0
	for _, a := range caches {
		sum := 0
		for _, p := range a.held {
			c.Assert(x.holders[p.key], qt.Any(qt.Equals), a)
			sum += p.tokens
		}
		c.Assert(a.heldTokens, qt.Equals, sum)
		entries += len(a.held)
	}
	for _, list := range x.holders {
		listed += len(list)
	}
	c.Assert(entries > 0, qt.IsTrue)
	c.Assert(listed, qt.Equals, entries)
}
