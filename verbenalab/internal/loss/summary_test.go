package loss

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSummary reads log lines with one result of each cause and checks the counts, the worst window and the printed yields.
func TestSummary(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/lines.jsonl")
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(f.Close(), qt.IsNil) }()
	s, err := Read(f)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Total, qt.DeepEquals, Counts{
		InTime: 1, LateWait: 1, LateRetry: 1, "failed: caller_left, answer_lost": 1, "refused: over_rate, dispatcher": 1, ItemLate: 1, ItemInTime: 1,
	})
	c.Assert(s.worstWindows(1), qt.DeepEquals, []int64{2})
	c.Assert(s.Routes["s"].losses(), qt.Equals, 1)
	c.Assert(s.Workspaces["w"].losses(), qt.Equals, 2)
	c.Assert(s.String(), qt.Contains, "items that yielded to a caller: 1, 2 times\nfrom 4s to 6s\n")
}
