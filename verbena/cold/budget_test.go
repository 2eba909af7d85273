package cold

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var bound = Bound{PerSecond: 8.3, MaxInSecond: 17.45}

// most returns the most times within any second.
func most(times []time.Time) (n int) {
	for i, t := range times {
		count := 0
		for _, o := range times[i:] {
			if o.Sub(t) < time.Second {
				count++
			}
		}
		n = max(n, count)
	}
	return n
}

// TestBudgetKeepsBound guards against more requests in a second than a cold server tolerates. The load wants a request every
// few milliseconds, as when an evacuated zone returns into a burst, while the server becomes cold and warm without notice.
func TestBudgetKeepsBound(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(6, 4))
	var b Budget
	b.SetBound(bound)
	now := time.Unix(100, 0)
	b.SetShare(now, 1, false)
	var sent, whileCold []time.Time
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(8)) * time.Millisecond)
		switch random.IntN(400) {
		case 0:
			b.Begin(now, now.Add(3*time.Second))
		case 1:
			b.End()
		}
		if b.Ready(now) {
			b.Take(now)
			sent = append(sent, now)
			if b.IsCold(now) {
				whileCold = append(whileCold, now)
			}
		}
	}
	c.Assert(float64(most(sent)) < bound.MaxInSecond, qt.IsTrue, qt.Commentf("%d in a second", most(sent)))
	c.Assert(float64(most(whileCold)) <= bound.PerSecond+burst+1, qt.IsTrue, qt.Commentf("%d in a second", most(whileCold)))
}

// TestColdServerGetsItsRate guards against a cold server that gets far fewer requests than it tolerates.
func TestColdServerGetsItsRate(t *testing.T) {
	c := qt.New(t)
	var b Budget
	b.SetBound(bound)
	now := time.Unix(100, 0)
	b.SetShare(now, 1, false)
	b.Begin(now, now.Add(time.Minute))
	n := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if b.Ready(now) {
			b.Take(now)
			n++
		}
	}
	c.Assert(float64(n) > 0.9*10*bound.PerSecond, qt.IsTrue, qt.Commentf("%d in ten seconds", n))
}

// TestIndependentHostsShareBudget guards against hosts that decide by themselves and exceed the bound together.
func TestIndependentHostsShareBudget(t *testing.T) {
	c := qt.New(t)
	const hosts = 8
	budgets := make([]Budget, hosts)
	now := time.Unix(100, 0)
	for i := range budgets {
		budgets[i].SetBound(bound)
		budgets[i].SetShare(now, 1.0/hosts, true)
		budgets[i].Begin(now, now.Add(time.Minute))
	}
	var sent []time.Time
	for n := range 20_000 {
		now = now.Add(time.Millisecond)
		if n/3000%2 == 1 {
			continue // nothing is wanted for some seconds, and tokens are saved up
		}
		for i := range budgets {
			if budgets[i].Ready(now) {
				budgets[i].Take(now)
				sent = append(sent, now)
			}
		}
	}
	c.Assert(float64(most(sent)) < bound.MaxInSecond, qt.IsTrue, qt.Commentf("%d in a second", most(sent)))
}

// TestServersWithoutBound guards against an effect on services whose servers tolerate any rate.
func TestServersWithoutBound(t *testing.T) {
	c := qt.New(t)
	var b Budget
	now := time.Unix(100, 0)
	b.Begin(now, now.Add(time.Minute))
	for range 100 {
		c.Assert(b.Ready(now) && b.ReadyForBatch(now), qt.IsTrue)
		b.Take(now)
	}
}

// TestAdoptedRequestsKeepBound guards against a placer that forgets its own requests when a host connects with older ones.
func TestAdoptedRequestsKeepBound(t *testing.T) {
	c := qt.New(t)
	var b Budget
	b.SetBound(bound)
	now := time.Unix(100, 0)
	b.SetShare(now, 1, false)
	var sent []time.Time
	send := func() {
		for b.Ready(now) {
			b.Take(now)
			sent = append(sent, now)
		}
	}
	send()
	now = now.Add(100 * time.Millisecond)
	for range 14 {
		b.Adopt(now, now.Add(-20*time.Second))
	}
	for range 3 {
		b.Adopt(now, now.Add(-500*time.Millisecond))
		sent = append(sent, now.Add(-500*time.Millisecond))
	}
	send()
	now = now.Add(700 * time.Millisecond)
	b.SetBound(Bound{PerSecond: 8, MaxInSecond: 17})
	send()
	slices.SortFunc(sent, time.Time.Compare)
	c.Assert(float64(most(sent)) < bound.MaxInSecond, qt.IsTrue, qt.Commentf("%d in a second", most(sent)))
}
