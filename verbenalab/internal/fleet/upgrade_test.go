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

// formerProgramsEnv is the environment variable that names the folder of another build's programs. If it is unset, the
// test does a rolling restart of the current build.
const formerProgramsEnv = "VERBENALAB_FORMER_PROGRAMS"

// TestUpgrade replaces the daemons of one build by those of another, one by one, in both directions. A running job must
// complete. Results, withdrawn keys and idempotency keys that the former build wrote must stay valid, and a rate must
// hold over both builds together.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	current, err := filepath.Abs(programsDir)
	qt.Assert(t, err, qt.IsNil)
	former := os.Getenv(formerProgramsEnv)
	if former == "" {
		former = current
	}
	for _, b := range []struct{ name, from, to string }{{"upgrade", former, current}, {"downgrade", current, former}} {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, func(c *fleet.Config) { c.ProgramsDir = b.from })
			f.upgrade(b.to)
		})
	}
}

// upgrade replaces the daemons one by one by the build in a folder and checks the state after each.
func (f *testFleet) upgrade(newProgramsDir string) {
	const n = 800
	completed := f.submitBatch("kept", 100, 8)
	f.awaitResults(completed, "kept", 100)
	first := f.sendConfirmation(f.Hosts[0], "sale", "buy 10 sacks")
	f.Assert(first.status, qt.Equals, 200)
	_, err := f.Verbenactl(f.ctx, "key", "withdraw", f.keyIDs["museum"])
	f.Assert(err, qt.IsNil)
	running := f.submitBatch("running", n, 24)
	f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(running) >= n/10 })

	var collector answerCollector
	for i, h := range f.Hosts {
		f.Assert(h.Terminate(upgradeStopLimit), qt.IsNil)
		f.Assert(f.StartHostFrom(newProgramsDir, h), qt.IsNil)
		f.Assert(f.WaitReady(), qt.IsNil)
		for j := range 100 {
			host := f.Hosts[j%len(f.Hosts)]
			collector.collect(func() load.Answer { return f.chat(host, "desk", fmt.Sprintf("price %d after %d", j, i)) })
			time.Sleep(20 * time.Millisecond)
		}
		for _, x := range f.Hosts {
			resent := f.sendConfirmation(x, "sale", "buy 10 sacks")
			f.Check([]any{resent.status, resent.body}, qt.DeepEquals, []any{first.status, first.body}, qt.Commentf("%s after %d", x.ID, i))
			refused := f.chat(x, "museum", "with a withdrawn key")
			f.Check(refused.Code, qt.Equals, "bad_key", qt.Commentf("%s after %d", x.ID, i))
		}
	}
	f.awaitResults(running, "running", n)
	done, err := f.caller.Status(f.ctx, f.keys[batchWorkspace], completed.ID)
	f.Assert(err, qt.IsNil)
	f.checkOutput(done, "kept", 100)
	f.Assert(f.countRuns("buy 10 sacks"), qt.Equals, 1)
	answers := collector.wait()
	maxExcess, admitted := f.maxRateExcess("desk")
	f.Logf("admitted %d of %d, at most %.3f over the limit", admitted, len(answers), maxExcess)
	f.Assert(maxExcess <= 1e-3, qt.IsTrue, qt.Commentf("admitted %.3f over the limit", maxExcess))
	f.Assert(admitted > 0, qt.IsTrue)
	f.checkLedgers(answers)
}

// upgradeStopLimit is how long a daemon may take to finish its requests and exit.
const upgradeStopLimit = 30 * time.Second
