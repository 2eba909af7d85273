package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
