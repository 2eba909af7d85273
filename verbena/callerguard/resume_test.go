package callerguard

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestResumedConnectionStaysWithinLimit guards against connections that are taken back beyond the limit, or counted twice.
func TestResumedConnectionStaysWithinLimit(t *testing.T) {
	c := qt.New(t)
	p := NewPool(Budget{Connections: 2, HeadBytes: 1 << 20})
	all, ends := openMany(c, p, 4) // the first two make room
	c.Assert(ends, qt.HasLen, 2)
	c.Assert(p.Resume(all[0], start), qt.IsTrue)
	c.Check(ends[all[2]], qt.Equals, NoConnections)
	c.Assert(p.Begin(all[0], 1, start), qt.IsTrue)
	c.Assert(p.Begin(all[3], 1, start), qt.IsTrue)
	c.Check(p.Resume(all[1], start), qt.IsFalse, qt.Commentf("requests are in progress on all others"))
	c.Check(p.Resume(all[0], start), qt.IsTrue)
	p.Close(all[1])
	p.Close(all[2])
	c.Check(p.Overdue(), qt.Equals, 0)
	c.Check(p.Resume(all[1], start), qt.IsFalse)
	p.Close(all[0])
	p.Close(all[3])
	c.Check([]int64{int64(p.open), int64(p.leaving), p.used, p.unfinished}, qt.DeepEquals, []int64{0, 0, 0, 0})
}
