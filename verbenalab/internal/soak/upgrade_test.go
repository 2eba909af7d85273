package soak_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/soak"
)

// formerPrograms is the variable that names the folder of another build's programs. Without it a rolling restart
// of one build is played.
const formerPrograms = "VERBENALAB_FORMER_PROGRAMS"

// TestUpgrade runs hosts of two builds beside each other on the state that the former build wrote, with a dispatcher of
// either, and loses both: what is promised holds, and each stage serves requests and accepts jobs.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	current, err := filepath.Abs(programs)
	qt.Assert(t, err, qt.IsNil)
	former := os.Getenv(formerPrograms)
	if former == "" {
		former = programs // another spelling of the same folder, so that every stage replaces its hosts
	}
	for n, builds := range []struct{ name, from, to string }{{"upgrade", former, current}, {"downgrade", current, former}} {
		t.Run(builds.name, func(t *testing.T) {
			t.Parallel()
			r, err := soak.Upgrade(t.Context(), soak.Options{
				Programs: builds.to, Former: builds.from, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("%d.%d", 71+n, 1+os.Getpid()%250),
			})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
			qt.Check(t, r.Violations, qt.HasLen, 0, qt.Commentf("%v", r.LogLines))
			qt.Assert(t, r.Stages, qt.HasLen, 5)
			for _, s := range r.Stages {
				qt.Check(t, s.Answered > 0 && s.Jobs > 0, qt.IsTrue, qt.Commentf("%+v", s))
				t.Logf("%d requests answered, %d jobs accepted, dispatcher on %s: %s", s.Answered, s.Jobs, s.Dispatcher, s.Name)
			}
			for stage, dispatcher := range []string{builds.from, builds.from, builds.to} {
				qt.Check(t, r.Stages[stage].Dispatcher, qt.Equals, dispatcher, qt.Commentf("%s", r.Stages[stage].Name))
			}
		})
	}
}
