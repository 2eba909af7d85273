package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSummarizeProbes checks that probes sent before the fault don't count, and that the last failed probe determines the
// downtime.
func TestSummarizeProbes(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms, took int, answered bool) probe {
		sent := begin.Add(time.Duration(ms) * time.Millisecond)
		return probe{sent: sent, ended: sent.Add(time.Duration(took) * time.Millisecond), answered: answered}
	}
	r := summarize("kill", begin, []probe{
		at(-500, 9000, true), at(-100, 10, false), at(0, 20, true), at(2500, 10, false), at(500, 10, false), at(900, 300, true), at(4000, 50, true),
	})
	qt.Assert(t, r, qt.DeepEquals, Recovery{
		Kind: "kill", Sent: 5, Failed: 2, FirstSecond: 2.0 / 3, Downtime: 2500 * time.Millisecond, Slowest: 300 * time.Millisecond,
	})
}
