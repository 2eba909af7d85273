package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

func TestAdmissionCountsByOthers(t *testing.T) {
	c := qt.New(t)
	var s AdmissionCounts
	now := time.Unix(1000, 0)
	for n := range 20 {
		s.Add(now.Add(time.Duration(n)*500*time.Millisecond), n%2, "w", 1)
	}
	now = now.Add(9500 * time.Millisecond)
	s.Add(now, 2, "v", 1)
	c.Assert(s.ByOthers(now, time.Time{}, 1), qt.DeepEquals, map[ids.WorkspaceID]int{"w": 5, "v": 1})
	c.Assert(s.Total(now, "w"), qt.Equals, 11)
	c.Assert(s.Total(now, "v"), qt.Equals, 0)
	c.Assert(s.ByOthers(now, time.Time{}, 2)["w"] >= 10, qt.IsTrue)
	c.Assert(s.ByOthers(now, now.Add(-time.Second), 1)["w"] <= 2, qt.IsTrue)
	c.Assert(s.ByOthers(now.Add(time.Minute), time.Time{}, 1), qt.HasLen, 0)
}
