package callerguard

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestParsedHeadsLeaveRoom guards against requests that keep what their heads took while they were parsed, until others find no room.
func TestParsedHeadsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	p := NewPool(Budget{Connections: 1000, HeadBytes: 1 << 20})
	all, ends := openMany(c, p, 100)
	for _, m := range all {
		c.Assert(p.Begin(m, 10<<10, start), qt.IsTrue)
		c.Assert(p.Parse(m, 20<<10), qt.IsTrue)
		p.Parsed(m)
	}
	_, used := p.Usage()
	c.Check(used, qt.Equals, int64(100*10<<10))
	c.Check(p.Parse(all[0], 30<<10), qt.IsFalse)
	p.Idle(all[0], start)
	c.Check(p.Parse(all[1], 30<<10), qt.IsTrue)
	for _, m := range all {
		p.Close(m)
	}
	_, used = p.Usage()
	c.Check([]int64{used, p.unfinished}, qt.DeepEquals, []int64{0, 0})
	c.Check(ends, qt.HasLen, 0)
}

// TestHeadsAreNotClosedInVain guards against unfinished heads that are closed although requests that run leave too little room anyway.
func TestHeadsAreNotClosedInVain(t *testing.T) {
	c := qt.New(t)
	p := NewPool(Budget{Connections: 1000, HeadBytes: 100 << 10})
	all, ends := openMany(c, p, 12)
	for _, m := range all[:9] {
		c.Assert(p.Begin(m, 10<<10, start), qt.IsTrue)
	}
	p.HeadBegins(all[9], start)
	c.Assert(p.Reserve(all[9], 4<<10), qt.IsTrue)
	c.Check(p.Begin(all[10], 12<<10, start), qt.IsFalse, qt.Commentf("it finds no room for its parsed head"))
	c.Check(ends, qt.HasLen, 0)
	p.HeadBegins(all[11], start)
	c.Check(p.Reserve(all[11], 12<<10), qt.IsFalse)
	c.Check(ends, qt.DeepEquals, map[*Member]Reason{all[11]: NoMemory}, qt.Commentf("it finds no room while it arrives"))
	c.Check(p.Begin(all[10], 8<<10, start), qt.IsTrue)
	c.Check(ends, qt.DeepEquals, map[*Member]Reason{all[9]: NoMemory, all[11]: NoMemory}, qt.Commentf("closing one makes room"))
}
