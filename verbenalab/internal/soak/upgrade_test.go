package soak_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// formerProgramsEnv is the environment variable that names the folder of another build's programs. If it is unset, the
// test does a rolling restart of one build.
const formerProgramsEnv = "VERBENALAB_FORMER_PROGRAMS"

// TestUpgrade runs hosts of two builds together on the state that the former build wrote, with a dispatcher of either
// build, and kills both dispatchers. All guarantees must hold, and each stage must answer requests and accept jobs.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	current, err := filepath.Abs(builtPrograms)
	qt.Assert(t, err, qt.IsNil)
	former := os.Getenv(formerProgramsEnv)
	if former == "" {
		former = builtPrograms // the same folder, but as a relative path, so that every stage replaces its hosts
	}
	for n, builds := range []struct{ name, from, to string }{{"upgrade", former, current}, {"downgrade", current, former}} {
		t.Run(builds.name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Upgrade(t.Context(), soak.Options{
				Programs: builds.to, FormerPrograms: builds.from, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("%d.%d", 71+n, 1+os.Getpid()%250),
			})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("%v", r.LogLines))
			qt.Assert(t, r.Stages, qt.HasLen, 5)
			for _, s := range r.Stages {
				qt.Check(t, s.Answered > 0 && s.Jobs > 0, qt.IsTrue, qt.Commentf("%+v", s))
				t.Logf("%d requests answered, %d jobs accepted, dispatcher on %s: %s", s.Answered, s.Jobs, s.DispatcherPrograms, s.Name)
			}
			for stage, dispatcher := range []string{builds.from, builds.from, builds.to} {
				qt.Check(t, r.Stages[stage].DispatcherPrograms, qt.Equals, dispatcher, qt.Commentf("%s", r.Stages[stage].Name))
			}
		})
	}
}
