package soak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// programsDir is the folder that `make build` writes the programs to.
const programsDir = "../../../bin"

// seeds are the plans that TestSoak runs. A seed that once failed stays here with the cause of its failure, and runs long
// enough for that cause to occur.
var seeds = []struct {
	name   string
	seed   uint64
	length time.Duration
}{
	{"ordinary", 1, 4 * time.Second},
	{"dispatcher and standby each admitted a burst (incident 0010)", 410, 15 * time.Second},
	{"retries weren't counted (incident 0011)", 405, 15 * time.Second},
	{"hosts deciding locally on a slow link exceeded a workspace's rate (incident 0005)", 2, 12 * time.Second},
}

// TestSoak runs the real programs for some seconds under random faults.
func TestSoak(t *testing.T) {
	for n, s := range seeds {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Run(t.Context(), soak.Options{
				ProgramsDir: programsDir, Dir: t.TempDir(), Seed: s.seed, Duration: s.length, Subnet: fmt.Sprintf("%d.%d", 61+n, 1+os.Getpid()%250),
			})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("seed %d\n%s%v", s.seed, r.Plan, r.LogLines))
		})
	}
}
