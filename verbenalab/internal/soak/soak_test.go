package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// programs is where `make build` puts them.
const programs = "../../../bin"

// seeds are played in each run of the tests. A seed that ever failed stays, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "an ordinary one"},
}

// TestSoak plays a few seconds of trouble with the real programs.
func TestSoak(t *testing.T) {
	for n, s := range seeds {
		r, err := soak.Play(t.Context(), soak.Options{
			Programs: programs, Dir: t.TempDir(), Seed: s.seed, Length: 4 * time.Second, Subnet: "63." + string(rune('1'+n)),
		})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
		qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("seed %d\n%s%v", s.seed, r.Plan, r.Lines))
	}
}
