package fleet_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
)

// formerPrograms is the variable that names the folder of another build's programs. Without it a rolling restart
// of one build is played.
const formerPrograms = "VERBENALAB_FORMER_PROGRAMS"

// TestUpgrade replaces daemons of one build by those of another, one by one, on the state that the former build wrote:
// a job goes on, results, keys and idempotency keys stay, and a rate holds over both builds together.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	current, err := filepath.Abs(programs)
	qt.Assert(t, err, qt.IsNil)
	former := os.Getenv(formerPrograms)
	if former == "" {
		former = current
	}
	for _, builds := range []struct{ name, from, to string }{{"upgrade", former, current}, {"downgrade", current, former}} {
		t.Run(builds.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, func(c *fleet.Config) { c.Programs = builds.from })
			r.upgrade(builds.to)
		})
	}
}

func (r *rig) upgrade(programs string) {
	const n = 800
	kept := r.submit("kept", 100, 8)
	r.finish(kept, "kept", 100)
	first := r.confirm(r.Hosts[0], "sale", "buy 10 sacks")
	r.Assert(first.status, qt.Equals, 200)
	_, err := r.Operate(r.ctx, "key", "withdraw", r.keyIDs["museum"])
	r.Assert(err, qt.IsNil)
	running := r.submit("running", n, 24)
	r.eventually(jobLimit, "progress", func() bool { return r.progress(running) >= n/10 })

	var c collect
	for i, h := range r.Hosts {
		r.Assert(h.Terminate(upgradeStopLimit), qt.IsTrue)
		r.Assert(r.StartHostFrom(programs, h), qt.IsNil)
		r.Assert(r.WaitReady(), qt.IsNil)
		for j := range 100 {
			at := r.Hosts[j%len(r.Hosts)]
			c.add(func() load.Answer { return r.ask(at, "desk", fmt.Sprintf("price %d after %d", j, i)) })
			time.Sleep(20 * time.Millisecond)
		}
		for _, at := range r.Hosts {
			again := r.confirm(at, "sale", "buy 10 sacks")
			r.Check([]any{again.status, again.body}, qt.DeepEquals, []any{first.status, first.body}, qt.Commentf("%s after %d", at.ID, i))
			refused := r.ask(at, "museum", "with a withdrawn key")
			r.Check(refused.Code, qt.Equals, "bad_key", qt.Commentf("%s after %d", at.ID, i))
		}
	}
	r.finish(running, "running", n)
	done, err := r.caller.Show(r.ctx, r.keys[batchSpace], kept.ID)
	r.Assert(err, qt.IsNil)
	r.checkOutput(done, "kept", 100)
	r.Assert(r.runsOf("buy 10 sacks"), qt.Equals, 1)
	answers := c.all()
	worst, admitted := r.excess("desk")
	r.Logf("admitted %d of %d, at most %.3f over the limit", admitted, len(answers), worst)
	r.Assert(worst <= 1e-3, qt.IsTrue, qt.Commentf("admitted %.3f over the limit", worst))
	r.Assert(admitted > 0, qt.IsTrue)
	r.checkTruth(answers)
}

// upgradeStopLimit is how long a daemon may take to stop while its requests end.
const upgradeStopLimit = 30 * time.Second
