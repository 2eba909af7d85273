package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

// The rate in requests per second and the burst in requests of the workspace desk in rulesText.
const (
	deskRate  = 10.0
	deskBurst = 20.0
)

// maxRateExcess replays the merged timelines of all hosts through a token bucket with the limits of the workspace desk.
// It returns by how many requests the limit was exceeded at most, over windows of any length, and how many requests were
// admitted.
func (f *testFleet) maxRateExcess(workspace string) (excess float64, admitted int) {
	events, err := f.Events(f.ctx)
	f.Assert(err, qt.IsNil)
	tokens, lastMicros := deskBurst, int64(0)
	for _, e := range timeline.Merge(events) {
		if e.Kind != timeline.RequestAdmitted || string(e.Workspace) != workspace {
			continue
		}
		admitted++
		if lastMicros > 0 {
			tokens = min(deskBurst, tokens+deskRate*time.Duration((e.Stamp.Micros-lastMicros)*int64(time.Microsecond)).Seconds())
		}
		lastMicros = e.Stamp.Micros
		tokens--
		excess = max(excess, -tokens)
	}
	return excess, admitted
}

// TestRateOverAllHosts sends five times a workspace's rate unevenly through all hosts, while hosts are killed, paused
// and disconnected and the platform is down. The rate must not be exceeded.
func TestRateOverAllHosts(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, withDaemons(5), withRelays)
	end := time.Now().Add(22 * time.Second)
	var collector answerCollector
	faults := []func(){
		func() { f.Hosts[0].Pause() },
		func() { f.Hosts[0].Resume() },
		func() { f.Hosts[1].Kill() },
		func() { f.SetPeersBlocked(f.Hosts[2], true) },
		func() { f.Check(f.StartHost(f.Hosts[1]), qt.IsNil) },
		func() { f.SetPeersBlocked(f.Hosts[2], false) },
		func() { f.Check(f.SetFaults(platform.Faults{Down: true}), qt.IsNil) },
		func() { f.Check(f.SetFaults(platform.Faults{}), qt.IsNil) },
	}
	next := time.Now().Add(2 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if len(faults) > 0 && time.Now().After(next) {
			faults[0]()
			faults = faults[1:]
			next = next.Add(2500 * time.Millisecond)
		}
		h := f.Hosts[(n*n)%len(f.Hosts)]
		collector.collect(func() load.Answer { return f.chat(h, "desk", fmt.Sprint("price ", n)) })
		time.Sleep(20 * time.Millisecond)
	}
	answers := collector.wait()
	maxExcess, admitted := f.maxRateExcess("desk")
	t.Logf("admitted %d, codes %v", admitted, countCodes(answers))
	f.Assert(maxExcess <= 1e-3, qt.IsTrue, qt.Commentf("admitted %.3f over the limit", maxExcess))
	f.Assert(admitted >= int(deskRate*5), qt.IsTrue)
	f.checkLedgers(answers)
}

// TestRequestsWithinRateServed sends three fifths of a workspace's rate unevenly through the hosts without any fault. All
// requests must be answered.
func TestRequestsWithinRateServed(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	var collector answerCollector
	for n := range 90 {
		h := f.Hosts[0]
		if n%2 == 1 {
			h = f.Hosts[1+(n/2)%2]
		}
		collector.collect(func() load.Answer { return f.chat(h, "desk", fmt.Sprint("note ", n)) })
		time.Sleep(time.Second / 6)
	}
	answers := collector.wait()
	f.Assert(countCodes(answers), qt.DeepEquals, map[string]int{"": 90})
}
