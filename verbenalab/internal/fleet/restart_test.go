package fleet_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

var withShortDrain = withSettings("drain", map[string]any{"notice": "600ms", "limit": "30s"})

// rollingRestart restarts the daemons one after the other.
func (f *testFleet) rollingRestart() {
	for _, h := range f.Hosts {
		time.Sleep(time.Second)
		f.Assert(h.Terminate(40*time.Second), qt.IsNil)
		f.Assert(f.StartHost(h), qt.IsNil)
		f.Assert(f.WaitReady(), qt.IsNil)
	}
}

// TestRollingRestart restarts every daemon under load, with open streams. No answer may be cut off, and no request
// within the workspace's rate may be refused, except by a draining daemon.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withShortDrain)
	var collector answerCollector
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			collector.collect(func() load.Answer {
				request := load.ChatRequest{Workspace: "museum", Key: f.keys["museum"], Model: model, MaxTokens: 40, Prompt: fmt.Sprint("motif ", i)}
				return f.caller.Chat(f.ctx, request)
			})
		}
	})
	f.rollingRestart()
	close(stop)
	sending.Wait()
	answers := collector.wait()
	for _, a := range answers {
		f.Check(a.Code == "" || a.Code == "draining", qt.IsTrue, qt.Commentf("%s %s", a.Code, a.Message))
	}
	f.checkLedgers(answers)
}

// TestRollingRestartBatch restarts every daemon while a batch runs. No item may run more than once.
func TestRollingRestartBatch(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withShortDrain)
	const n = 900
	b := f.submitBatch("rolling", n, 24)
	f.rollingRestart()
	f.awaitResults(b, "rolling", n)
	repeated := 0
	for id, k := range f.runsByItem(b) {
		if k > 1 {
			repeated++
			t.Logf("item %s ran %d times", id, k)
		}
	}
	f.Assert(repeated, qt.Equals, 0)
	f.checkLedgers(nil)
}

// runsByItem counts the runs of each item of a job, by the item's index.
func (f *testFleet) runsByItem(b load.Batch) map[string]int {
	runs := map[string]int{}
	all, _ := f.allRuns()
	for id := range all {
		rest, ok := strings.CutPrefix(id, "item-"+b.ID+"-")
		if !ok {
			continue
		}
		index, _, _ := strings.Cut(rest, "-")
		runs[index]++
	}
	return runs
}

// TestRestartDuringOutage restarts a daemon while the platform is down. It must serve with the rules and keys that it
// fetches from its peers.
func TestRestartDuringOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	newest := f.oldestRulesVersion()
	f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	f.Hosts[0].Kill()
	f.Assert(f.StartHost(f.Hosts[0]), qt.IsNil)
	f.eventually(rulesLimit, "the restarted daemon has the rules of its peers", func() bool { return f.oldestRulesVersion() == newest })
	f.Assert(f.chat(f.Hosts[0], "archive", "after the restart").Complete(), qt.IsTrue)
}
