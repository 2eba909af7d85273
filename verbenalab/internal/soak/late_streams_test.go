package soak_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

var lateStreamsPlans = []struct {
	name string
	plan soak.LateStreamsPlan
	// earlyFit is set if streams fit that are asked for in the first 3 s, by how long they usually take.
	earlyFit bool
}{
	{"streams of 1 s, one host", soak.LateStreamsPlan{Callers: 20, Stops: 1, Duration: time.Second, Hosts: 1}, true},
	{"streams of 3 s, two hosts at once", soak.LateStreamsPlan{Callers: 20, Stops: 1, Duration: 3 * time.Second, Hosts: 2}, false},
	{"streams of 4.5 s, one host", soak.LateStreamsPlan{Callers: 20, Stops: 1, Duration: 4500 * time.Millisecond, Hosts: 1}, false},
}

// TestStopCutsLateStreams guards against stopping hosts that begin streams which they can't end (docs/incidents/0041).
func TestStopCutsLateStreams(t *testing.T) {
	for n, p := range lateStreamsPlans {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			r, err := soak.MeasureLateStreams(t.Context(), soak.Options{
				ProgramsDir: programsDir, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("%d.%d", 77+n, 1+os.Getpid()%250),
			}, p.plan)
			c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			t.Logf("\n%s", r)
			c.Check(r.Lost, qt.HasLen, 0)
			c.Check(r.RefusedRan(), qt.Equals, 0)
			unused := r.EarlyOnUnusedConnections()
			c.Check(unused.Whole > 0, qt.IsTrue)
			c.Check(unused.Unread, qt.Equals, 0)
			if p.earlyFit {
				c.Check(unused.Refused, qt.Equals, 0)
			}
		})
	}
}
