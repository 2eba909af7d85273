package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

// leavingLimit bounds the time until no host sends work to a leaving backend server.
const leavingLimit = 3 * time.Second

// TestLeavingBackend makes a backend server leave while the platform's host list is a minute behind. Within the limit
// the hosts must learn of it from the server's own answers and stop sending to it, and no request may be refused.
func TestLeavingBackend(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.Assert(f.SetFaults(platform.Faults{HostLag: time.Minute}), qt.IsNil)
	leaving := f.backendsOf(model)[0]
	s := leaving.Server
	s.State = backend.Leaving
	f.Assert(f.PutHost(s), qt.IsNil)
	f.Assert(f.SetBehaviour(leaving, map[string]any{"leaving": true}), qt.IsNil)
	var collector answerCollector
	start := time.Now()
	runsAtLimit := -1
	for n := 0; time.Since(start) < 2*leavingLimit; n++ {
		if runsAtLimit < 0 && time.Since(start) > leavingLimit {
			runsAtLimit = len(f.ledgerOf(leaving).Ran)
			f.Assert(f.SetBehaviour(leaving, map[string]any{"leaving": false}), qt.IsNil)
		}
		h := f.Hosts[n%len(f.Hosts)]
		collector.collect(func() load.Answer { return f.chat(h, "archive", fmt.Sprint("which village? ", n)) })
		time.Sleep(30 * time.Millisecond)
	}
	answers := collector.wait()
	f.Assert(countCodes(answers), qt.DeepEquals, map[string]int{"": len(answers)})
	// After the limit the server accepted requests again, but must not have received any.
	f.Assert(len(f.ledgerOf(leaving).Ran), qt.Equals, runsAtLimit)
}

// TestPoisonousRequest repeatedly sends a request that crashes its backend server, to every host. At most two servers
// may crash, and all other requests must be answered.
func TestPoisonousRequest(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withEngines(6, "--restart", "1s"))
	var ordinary answerCollector
	for i := range 60 {
		h := f.Hosts[i%len(f.Hosts)]
		ordinary.collect(func() load.Answer {
			request := load.ChatRequest{
				Workspace: "museum", Key: f.keys["museum"], Model: model, MaxTokens: 30,
				Prompt: fmt.Sprint("ordinary ", i), CallerAddress: h.CallerAddress,
			}
			return f.caller.Chat(f.ctx, request)
		})
		time.Sleep(10 * time.Millisecond)
	}
	first := f.chat(f.Hosts[0], "archive", "[[crash]] name this motif")
	f.Assert(first.Code, qt.Equals, "poisonous", qt.Commentf("%s", first.Message))
	for i := range 9 {
		answer := f.chat(f.Hosts[i%3], "archive", "[[crash]] name this motif")
		f.Assert(answer.Code, qt.Equals, "poisonous")
	}
	crashes := 0
	for _, b := range f.backendsOf(model) {
		crashes += f.ledgerOf(b).Crashes
	}
	f.Assert(crashes <= 2, qt.IsTrue, qt.Commentf("%d servers crashed", crashes))
	answers := ordinary.wait()
	for _, a := range answers {
		f.Check(a.Code, qt.Equals, "", qt.Commentf("an ordinary request: %s %s", a.Code, a.Run))
	}
	f.Assert(f.chat(f.Hosts[1], "archive", "an ordinary question").Complete(), qt.IsTrue)
	f.checkLedgers(answers)
}

// TestStreamResumed cuts off a stream at the engine. The caller must get the complete answer, and an answer that can't
// be resumed must not appear complete.
func TestStreamResumed(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	complete := f.chat(f.Hosts[0], "archive", "plain")
	resumed := f.chat(f.Hosts[0], "archive", "[[cut-once]] resumed")
	f.Assert(resumed.Code, qt.Equals, "")
	f.Assert(resumed.Tokens, qt.Equals, complete.Tokens)
	broken := f.chat(f.Hosts[1], "archive", "[[cut]] never whole")
	f.Assert(broken.Code, qt.Not(qt.Equals), "")
	f.Assert(broken.Run, qt.Not(qt.Equals), "not_run")
}

// backendsOf returns the stand-ins of a service's backend servers.
func (f *testFleet) backendsOf(service string) (list []*fleet.Backend) {
	for _, b := range f.Backends {
		if string(b.Service) == service {
			list = append(list, b)
		}
	}
	return list
}
