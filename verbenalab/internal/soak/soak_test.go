package soak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// programs is where `make build` puts them.
const programs = "../../../bin"

// seeds are played in each run of the tests. A seed that ever failed and is mended stays, with its cause, for
// as long as its cause takes.
var seeds = []struct {
	name   string
	seed   uint64
	length time.Duration
}{
	{"ordinary", 1, 4 * time.Second},
	{"dispatcher and standby gave a burst each (incident 0010)", 410, 15 * time.Second},
	{"further sends weren't counted (incident 0011)", 405, 15 * time.Second},
	{"hosts alone gave a workspace too much on a slow link (incident 0005)", 2, 12 * time.Second},
}

// TestSoak plays some seconds of trouble with the real programs.
func TestSoak(t *testing.T) {
	for n, s := range seeds {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Options{
				Programs: programs, Dir: t.TempDir(), Seed: s.seed, Duration: s.length, Subnet: fmt.Sprintf("%d.%d", 61+n, 1+os.Getpid()%250),
			})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("seed %d\n%s%v", s.seed, r.Plan, r.LogLines))
		})
	}
}
