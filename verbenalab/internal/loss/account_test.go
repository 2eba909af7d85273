package loss

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAccount(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/lines.jsonl")
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(f.Close(), qt.IsNil) }()
	a, err := Read(f)
	c.Assert(err, qt.IsNil)
	c.Assert(a.All, qt.DeepEquals, Counts{
		InTime: 1, LateWait: 1, LateAgain: 1, "failed: caller_left, answer_lost": 1, "refused: over_rate, dispatcher": 1, ItemLate: 1, ItemInTime: 1,
	})
	c.Assert(a.worst(1), qt.DeepEquals, []int64{2})
	c.Assert(a.Routes["s"].lost(), qt.Equals, 1)
	c.Assert(a.Workspaces["w"].lost(), qt.Equals, 2)
	c.Assert(a.String(), qt.Contains, "items that left a slot to a caller: 1, 2 times\nfrom 4s to 6s\n")
}
