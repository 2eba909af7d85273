package directory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// TestEvacuationsMarkServers guards against servers of an evacuated zone that look usable, and against a mark that outlives
// the evacuation.
func TestEvacuationsMarkServers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	listed := list(Server{ID: "a", Zone: "z1"}, Server{ID: "b", Zone: "z2"}, Server{ID: "c"})
	var e Evacuations
	c.Assert(e.Mark(listed), qt.DeepEquals, listed)

	begun, ended := e.Set(now, map[ids.ZoneID]uint64{"z1": 7})
	c.Assert(begun, qt.DeepEquals, []Evacuation{{Zone: "z1", Revision: 7, LearnedAt: now}})
	c.Assert(ended, qt.HasLen, 0)
	marked := e.Mark(listed)
	c.Assert([]bool{marked["a"].Evacuated, marked["b"].Evacuated, marked["c"].Evacuated}, qt.DeepEquals, []bool{true, false, false})
	c.Assert(listed["a"].Evacuated, qt.IsFalse)

	begun, ended = e.Set(now.Add(time.Second), map[ids.ZoneID]uint64{"z1": 9, "z2": 8})
	c.Assert(begun, qt.HasLen, 1)
	c.Assert(ended, qt.HasLen, 0, qt.Commentf("the object of z1 was written again"))

	begun, ended = e.Set(now.Add(2*time.Second), nil)
	c.Assert(begun, qt.HasLen, 0)
	c.Assert(ended, qt.HasLen, 2)
	c.Assert(e.Mark(listed)["a"].Evacuated, qt.IsFalse)
}
