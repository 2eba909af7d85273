package callerguard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1, 0)

// openMany opens n connections, a millisecond apart, and records why each is closed.
func openMany(c *qt.C, p *Pool, n int) (all []*Member, ends map[*Member]Reason) {
	ends = make(map[*Member]Reason)
	for i := range n {
		var m *Member
		m = NewMember(func(r Reason) { ends[m] = r })
		c.Assert(p.Open(m, start.Add(time.Duration(i)*time.Millisecond)), qt.IsTrue)
		all = append(all, m)
	}
	return all, ends
}

// TestEndlessHeadsStayInBudget replays 600 heads of 62 KB without an end: the budget holds, the oldest heads are closed first, and
// a request that runs isn't closed.
func TestEndlessHeadsStayInBudget(t *testing.T) {
	c := qt.New(t)
	const budget = 8 << 20
	p := NewPool(Budget{Connections: 1000, HeadBytes: budget})
	all, ends := openMany(c, p, 601)
	c.Assert(p.Begin(all[0], 8<<10, start), qt.IsTrue)
	for _, m := range all[1:] {
		p.HeadBegins(m, start)
	}
	for range 31 {
		for _, m := range all[1:] {
			p.Reserve(m, 2<<10)
			_, used := p.Usage()
			c.Assert(used <= budget, qt.IsTrue)
		}
	}
	c.Check(len(ends) > 0, qt.IsTrue)
	c.Check(ends[all[0]], qt.Equals, Reason(""))
	c.Check(ends[all[1]], qt.Equals, NoMemory)
	for _, m := range all {
		p.Close(m)
		p.Close(m)
	}
	open, used := p.Usage()
	c.Check([]int64{int64(open), used, p.costly, int64(p.leaving)}, qt.DeepEquals, []int64{0, 0, 0, 0})
}

// TestCostlyHeadsLeaveRoom guards against heads of many fields that take the whole budget for as long as their requests run.
func TestCostlyHeadsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	p := NewPool(Budget{Connections: 1000, HeadBytes: 8 << 20})
	all, _ := openMany(c, p, 100)
	begun := 0
	for _, m := range all[:99] {
		if p.Begin(m, 512<<10, start) {
			begun++
		}
	}
	c.Check(begun, qt.Equals, 8)
	c.Check(p.Begin(all[99], 8<<10, start), qt.IsTrue)
}

// TestConnectionsMakeRoom checks in which order connections make room at the limit, and that requests in progress don't.
func TestConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	p := NewPool(Budget{Connections: 5, HeadBytes: 8 << 20})
	all, ends := openMany(c, p, 5)
	c.Assert(p.Begin(all[0], 1, start), qt.IsTrue)
	c.Assert(p.Begin(all[1], 1, start), qt.IsTrue)
	p.Idle(all[1], start)
	p.HeadBegins(all[2], start)
	p.HeadBegins(all[3], start.Add(time.Second))
	now := start.Add(time.Second)
	for _, closed := range []int{2, 4, 1, 3} { // an old head, an unused connection, an idle one, a young head
		m := NewMember(func(Reason) {})
		c.Assert(p.Open(m, now), qt.IsTrue)
		c.Assert(ends[all[closed]], qt.Equals, NoConnections, qt.Commentf("connection %d", closed))
		c.Assert(p.Begin(m, 1, now), qt.IsTrue)
		c.Assert(p.Overdue() > 0, qt.IsTrue)
		p.Close(all[closed])
		c.Assert(p.Overdue(), qt.Equals, 0)
	}
	c.Check(p.Open(NewMember(nil), now), qt.IsFalse)
	c.Check(p.Tight(), qt.IsTrue)
	p.Idle(all[0], now)
	c.Check(p.Tight(), qt.IsFalse)
	c.Check(ends, qt.HasLen, 4)
}
