package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock/clocktest"
	"verbenaledge.example/verbena/ids"
)

func TestAdmissionCountsByOthers(t *testing.T) {
	c := qt.New(t)
	var counts AdmissionCounts
	now := time.Unix(1000, 0)
	for n := range 20 {
		counts.Add(now.Add(time.Duration(n)*500*time.Millisecond), n%2, "w", 1)
	}
	now = now.Add(9500 * time.Millisecond)
	counts.Add(now, 2, "v", 1)
	c.Assert(counts.ByOthers(now, time.Time{}, 1), qt.DeepEquals, map[ids.WorkspaceID]int{"w": 5, "v": 1})
	c.Assert(counts.Total(now, "w"), qt.Equals, 11)
	c.Assert(counts.Total(now, "v"), qt.Equals, 0)
	c.Assert(counts.ByOthers(now, time.Time{}, 2)["w"] >= 10, qt.IsTrue)
	c.Assert(counts.ByOthers(now, now.Add(-time.Second), 1)["w"] <= 2, qt.IsTrue)
	c.Assert(counts.ByOthers(now.Add(time.Minute), time.Time{}, 1), qt.HasLen, 0)
}

// TestAdmissionCountsAfterClockStep guards against counts that forget what was admitted, or keep it for too long, once the time of
// day is set: the next placer would grant a burst again, or refuse requests within the rate.
func TestAdmissionCountsAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{6 * time.Second, -6 * time.Second} {
		c := qt.New(t)
		var counts AdmissionCounts
		begin := time.Now()
		reported := begin.Add(-time.Second)
		counts.Add(begin, 1, "w", 3)
		soon, later := clocktest.Stepped(begin.Add(time.Second), step), clocktest.Stepped(begin.Add(7*time.Second), step)
		counts.Add(soon, 1, "w", 2)
		c.Check(counts.Total(soon, "w"), qt.Equals, 5, qt.Commentf("step %s", step))
		c.Check(counts.ByOthers(soon, reported, 0), qt.DeepEquals, map[ids.WorkspaceID]int{"w": 5}, qt.Commentf("step %s", step))
		c.Check(counts.Total(later, "w"), qt.Equals, 0, qt.Commentf("step %s", step))
		c.Check(counts.ByOthers(later, reported, 0), qt.HasLen, 0, qt.Commentf("step %s", step))
	}
}
