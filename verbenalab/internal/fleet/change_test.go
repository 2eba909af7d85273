package fleet_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

const (
	configBound  = 5 * time.Second
	leavingBound = 3 * time.Second
)

// TestLeavingBackend lets a server leave while the platform's list lags far behind:
// it gets no new work after the bound, and nobody is refused for it.
func TestLeavingBackend(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.Assert(r.SetFaults(platform.Faults{HostLag: time.Minute}), qt.IsNil)
	leaving := r.backendsOf(model)[0]
	s := leaving.Server
	s.State = backend.Leaving
	r.Assert(r.List(s), qt.IsNil)
	r.Assert(r.Control(leaving, map[string]any{"leaving": true}), qt.IsNil)
	var c collect
	start := time.Now()
	tried := -1
	for n := 0; time.Since(start) < 2*leavingBound; n++ {
		if tried < 0 && time.Since(start) > leavingBound {
			tried = len(r.ledgerOf(leaving).Ran)
			r.Assert(r.Control(leaving, map[string]any{"leaving": false}), qt.IsNil)
		}
		h := r.Hosts[n%len(r.Hosts)]
		c.add(func() load.Answer { return r.ask(h, "archive", fmt.Sprint("which village? ", n)) })
		time.Sleep(30 * time.Millisecond)
	}
	answers := c.all()
	r.Assert(codes(answers), qt.DeepEquals, map[string]int{"": len(answers)})
	// After the bound the server would have taken work, and got none.
	r.Assert(len(r.ledgerOf(leaving).Ran), qt.Equals, tried)
}

// rollingRestart restarts every daemon, one after the other.
func (r *rig) rollingRestart() {
	for _, h := range r.Hosts {
		time.Sleep(time.Second)
		r.Assert(h.Terminate(40*time.Second), qt.IsTrue)
		r.Assert(r.StartHost(h), qt.IsNil)
		r.Assert(r.WaitReady(), qt.IsNil)
	}
}

var shortDrain = setting("drain", map[string]any{"notice": "600ms", "limit": "30s"})

// TestRollingRestart restarts every daemon under load with streams open: no request
// is cut, and none inside its rate is refused but by a daemon that stops.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t, shortDrain)
	var c collect
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			c.add(func() load.Answer {
				q := load.Request{Workspace: "museum", Key: r.keys["museum"], Model: model, MaxTokens: 40, Prompt: fmt.Sprint("motif ", i)}
				return r.caller.Ask(r.ctx, q)
			})
		}
	})
	r.rollingRestart()
	close(stop)
	asking.Wait()
	answers := c.all()
	for _, a := range answers {
		r.Check(a.Code == "" || a.Code == "draining", qt.IsTrue, qt.Commentf("%s %s", a.Code, a.Message))
	}
	r.checkTruth(answers)
}

// TestRollingRestartBatch restarts every daemon under a batch: no item runs again.
func TestRollingRestartBatch(t *testing.T) {
	t.Parallel()
	r := newRig(t, shortDrain)
	const n = 900
	b := r.submit("rolling", n, 24)
	r.rollingRestart()
	r.finish(b, "rolling", n)
	again := 0
	for id, times := range r.itemRuns(b) {
		if times > 1 {
			again++
			t.Logf("item %s ran %d times", id, times)
		}
	}
	r.Assert(again, qt.Equals, 0)
	r.checkTruth(nil)
}

// itemRuns counts the runs of each item of a job.
func (r *rig) itemRuns(b load.Batch) map[string]int {
	runs := map[string]int{}
	ran, _ := r.ledgers()
	for id := range ran {
		rest, ok := strings.CutPrefix(id, "item-"+b.ID+"-")
		if !ok {
			continue
		}
		index, _, _ := strings.Cut(rest, "-")
		runs[index]++
	}
	return runs
}

// TestRulesInForce lets operators race and checks that one is told of the conflict,
// that the winner is in force everywhere in time, and that nothing reverts when a
// daemon is restarted in an outage.
func TestRulesInForce(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	out, err := r.Operate(r.ctx, "--json", "rules", "show")
	r.Assert(err, qt.IsNil)
	version := between(string(out), `"version": `, ",")
	results := make([]error, 4)
	var wg sync.WaitGroup
	for i := range results {
		text := rulesText + fmt.Sprintf("allow racer-%d model rate=1/s burst=1 # asked by operator %d\n", i, i)
		file := filepath.Join(r.dir, fmt.Sprintf("race-%d.rules", i))
		r.Assert(os.WriteFile(file, []byte(text), 0o644), qt.IsNil)
		wg.Go(func() { _, results[i] = r.Operate(r.ctx, "rules", "apply", "--no-wait", "--if-version", version, file) })
	}
	wg.Wait()
	won := -1
	for i, err := range results {
		if err == nil {
			r.Assert(won, qt.Equals, -1)
			won = i
			continue
		}
		var failed *fleet.ExitError
		r.Assert(err, qt.ErrorAs, &failed)
		r.Assert(failed.Code, qt.Equals, 4)
	}
	r.Assert(won >= 0, qt.IsTrue)
	took := r.eventually(configBound, "rules in force", func() bool { return r.lowestRules() > number(version) })
	t.Logf("in force on all hosts after %s", took.Round(time.Millisecond))
	newest := r.lowestRules()
	r.Assert(r.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	r.Hosts[0].Kill()
	r.Assert(r.StartHost(r.Hosts[0]), qt.IsNil)
	r.eventually(configBound, "the restarted daemon has the rules of its peers", func() bool { return r.lowestRules() == newest })
	r.Assert(r.SetFaults(platform.Faults{}), qt.IsNil)
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		r.Assert(r.lowestRules() >= newest, qt.IsTrue)
	}
}

// TestRestartInOutageServes restarts a daemon while the platform is away: it must
// serve with the rules and keys of its peers.
func TestRestartInOutageServes(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	newest := r.lowestRules()
	r.Assert(r.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	r.Hosts[0].Kill()
	r.Assert(r.StartHost(r.Hosts[0]), qt.IsNil)
	r.eventually(configBound, "the restarted daemon has the rules of its peers", func() bool { return r.lowestRules() == newest })
	r.Assert(r.ask(r.Hosts[0], "archive", "after the restart").Whole(), qt.IsTrue)
}

// lowestRules returns the oldest version of the rules that any daemon has, 0 while
// one can't be asked.
func (r *rig) lowestRules() (lowest uint64) {
	for i, h := range r.Hosts {
		var s struct {
			Versions map[string]uint64 `json:"versions"`
		}
		if r.Admin(h, "/admin/status", &s) != nil {
			return 0
		}
		if v := s.Versions["rules"]; i == 0 || v < lowest {
			lowest = v
		}
	}
	return lowest
}

func between(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	found, _, _ := strings.Cut(rest, to)
	return strings.TrimSpace(found)
}

func number(text string) (n uint64) {
	_, _ = fmt.Sscan(text, &n)
	return n
}

// TestPoison sends a request that crashes its backend server, again and again and
// to every host: at most two servers go down, and the innocent are answered.
func TestPoison(t *testing.T) {
	t.Parallel()
	r := newRig(t, engines(6, "--restart", "1s"))
	var c collect
	for i := range 60 {
		h := r.Hosts[i%len(r.Hosts)]
		c.add(func() load.Answer {
			q := load.Request{Workspace: "museum", Key: r.keys["museum"], Model: model, MaxTokens: 30, Prompt: fmt.Sprint("innocent ", i), Host: h.Caller}
			return r.caller.Ask(r.ctx, q)
		})
		time.Sleep(10 * time.Millisecond)
	}
	first := r.ask(r.Hosts[0], "archive", "[[crash]] name this motif")
	r.Assert(first.Code, qt.Equals, "poisonous", qt.Commentf("%s", first.Message))
	for i := range 9 {
		again := r.ask(r.Hosts[i%3], "archive", "[[crash]] name this motif")
		r.Assert(again.Code, qt.Equals, "poisonous")
	}
	crashes := 0
	for _, b := range r.backendsOf(model) {
		crashes += r.ledgerOf(b).Crashes
	}
	r.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("%d servers went down", crashes))
	answers := c.all()
	for _, a := range answers {
		r.Check(a.Code, qt.Equals, "", qt.Commentf("an innocent request: %s %s", a.Code, a.Run))
	}
	r.Assert(r.ask(r.Hosts[1], "archive", "an ordinary question").Whole(), qt.IsTrue)
	r.checkTruth(answers)
}

// TestStreamResumed cuts a stream at the engine: the caller gets the whole answer,
// and one that can't be resumed never looks whole.
func TestStreamResumed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	whole := r.ask(r.Hosts[0], "archive", "plain")
	cut := r.ask(r.Hosts[0], "archive", "[[cut-once]] resumed")
	r.Assert(cut.Code, qt.Equals, "")
	r.Assert(cut.Tokens, qt.Equals, whole.Tokens)
	broken := r.ask(r.Hosts[1], "archive", "[[cut]] never whole")
	r.Assert(broken.Code, qt.Not(qt.Equals), "")
	r.Assert(broken.Run, qt.Not(qt.Equals), "not_run")
}

// TestOnlineBesideBatch fills every replica with batch work, and sends an online
// burst: it is answered as on an idle fleet, and the batch completes.
func TestOnlineBesideBatch(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 1500
	b := r.submit("beside", n, 64)
	r.eventually(jobLimit, "progress", func() bool { return r.progress(b) > 50 })
	var c collect
	for i := range 60 {
		c.add(func() load.Answer { return r.ask(nil, "museum", fmt.Sprint("fair day ", i)) })
		time.Sleep(10 * time.Millisecond)
	}
	answers := c.all()
	r.Assert(codes(answers), qt.DeepEquals, map[string]int{"": 60})
	tally := load.NewTally()
	for _, a := range answers {
		tally.Add(a)
	}
	first := tally.Summary().First
	t.Logf("first token within %s for 95 in 100", first.P95)
	r.Assert(first.P95 <= 1900*time.Millisecond, qt.IsTrue)
	r.finish(b, "beside", n)
}
