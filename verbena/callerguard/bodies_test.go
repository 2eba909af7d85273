package callerguard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlowestBodyMakesRoom replays many bodies that stall: the slowest one is ended, one at a time, and neither the body that
// needs the memory nor one that has just begun.
func TestSlowestBodyMakesRoom(t *testing.T) {
	c := qt.New(t)
	b := NewBodies()
	var ended []int
	all := make([]*Body, 0, 4)
	for n, bytes := range []int{3 << 20, 1 << 20, 2 << 20, 0} {
		body := b.Add(func() { ended = append(ended, n) }, start)
		body.Arrived(bytes)
		all = append(all, body)
	}
	now := start.Add(time.Second)
	young := b.Add(func() { ended = append(ended, -1) }, now)
	young.Arrived(1)
	favored := b.Add(nil, now)
	c.Assert(b.DisplaceSlowest(favored, now), qt.IsTrue)
	c.Assert(b.DisplaceSlowest(favored, now), qt.IsTrue, qt.Commentf("the memory of the first one is awaited"))
	c.Assert(ended, qt.DeepEquals, []int{1})
	c.Assert(b.Remove(all[1]), qt.IsTrue)
	c.Assert(b.DisplaceSlowest(favored, now), qt.IsTrue)
	c.Assert(b.Remove(all[2]), qt.IsTrue)
	c.Assert(b.DisplaceSlowest(all[0], now), qt.IsFalse, qt.Commentf("it is the slowest itself"))
	c.Assert(ended, qt.DeepEquals, []int{1, 2})
	c.Assert(b.Remove(young), qt.IsFalse)
	c.Assert(b.DisplaceSlowest(nil, now), qt.IsTrue, qt.Commentf("one without a byte makes room for connections"))
	c.Assert(ended, qt.DeepEquals, []int{1, 2, 3})
}
