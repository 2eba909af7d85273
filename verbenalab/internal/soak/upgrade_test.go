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
	current, err := filepath.Abs(programsDir)
	qt.Assert(t, err, qt.IsNil)
	former := os.Getenv(formerProgramsEnv)
	if former == "" {
		former = programsDir // the same folder, but as a relative path, so that every stage replaces its hosts
	}
	for n, b := range []struct{ name, from, to string }{{"upgrade", former, current}, {"downgrade", current, former}} {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Upgrade(t.Context(), soak.Options{
				ProgramsDir: b.to, FormerProgramsDir: b.from, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("%d.%d", 71+n, 1+os.Getpid()%250),
			})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("%v", r.LogLines))
			qt.Assert(t, r.Stages, qt.HasLen, 5)
			for _, s := range r.Stages {
				qt.Check(t, s.Answered > 0 && s.Jobs > 0, qt.IsTrue, qt.Commentf("%+v", s))
				t.Logf("%d requests answered, %d jobs accepted, dispatcher on %s: %s", s.Answered, s.Jobs, s.DispatcherProgramsDir, s.Name)
			}
			for i, d := range []string{b.from, b.from, b.to} {
				qt.Check(t, r.Stages[i].DispatcherProgramsDir, qt.Equals, d, qt.Commentf("%s", r.Stages[i].Name))
			}
		})
	}
}
