package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

// The desk's rule in rulesText.
const (
	deskRate  = 10.0
	deskBurst = 20.0
)

// excess checks every window of the merged histories of all hosts strictly.
func (r *rig) excess(workspace string) (worst float64, admitted int) {
	events, err := r.Events(r.ctx)
	r.Assert(err, qt.IsNil)
	level, last := deskBurst, int64(0)
	for _, e := range timeline.Merge(events) {
		if e.Kind != timeline.RequestAdmitted || string(e.Workspace) != workspace {
			continue
		}
		admitted++
		if last > 0 {
			level = min(deskBurst, level+deskRate*time.Duration((e.Stamp.Micros-last)*int64(time.Microsecond)).Seconds())
		}
		last = e.Stamp.Micros
		level--
		worst = max(worst, -level)
	}
	return worst, admitted
}

// TestRateOverAllHosts sends a tenant's five-fold rate through all hosts unevenly
// while hosts are lost, frozen, cut and the platform goes away.
func TestRateOverAllHosts(t *testing.T) {
	t.Parallel()
	r := newRig(t, daemons(5), relays)
	stop := time.Now().Add(22 * time.Second)
	var c collect
	upset := []func(){
		func() { r.Hosts[0].Pause() },
		func() { r.Hosts[0].Resume() },
		func() { r.Hosts[1].Kill() },
		func() { r.CutPeers(r.Hosts[2], true) },
		func() { r.Check(r.StartHost(r.Hosts[1]), qt.IsNil) },
		func() { r.CutPeers(r.Hosts[2], false) },
		func() { r.Check(r.SetFaults(platform.Faults{Down: true}), qt.IsNil) },
		func() { r.Check(r.SetFaults(platform.Faults{}), qt.IsNil) },
	}
	next := time.Now().Add(2 * time.Second)
	for n := 0; time.Now().Before(stop); n++ {
		if len(upset) > 0 && time.Now().After(next) {
			upset[0]()
			upset = upset[1:]
			next = next.Add(2500 * time.Millisecond)
		}
		h := r.Hosts[(n*n)%len(r.Hosts)]
		c.add(func() load.Answer { return r.ask(h, "desk", fmt.Sprint("price ", n)) })
		time.Sleep(20 * time.Millisecond)
	}
	answers := c.all()
	worst, admitted := r.excess("desk")
	t.Logf("admitted %d, codes %v", admitted, codes(answers))
	r.Assert(worst <= 1e-3, qt.IsTrue, qt.Commentf("admitted %.3f over the limit", worst))
	r.Assert(admitted >= int(deskRate*5), qt.IsTrue)
	r.checkTruth(answers)
}

// TestRateInsideIsServed sends three fifths of the rate through uneven hosts in
// quiet running.
func TestRateInsideIsServed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	var c collect
	for n := range 90 {
		h := r.Hosts[0]
		if n%2 == 1 {
			h = r.Hosts[1+(n/2)%2]
		}
		c.add(func() load.Answer { return r.ask(h, "desk", fmt.Sprint("note ", n)) })
		time.Sleep(time.Second / 6)
	}
	answers := c.all()
	r.Assert(codes(answers), qt.DeepEquals, map[string]int{"": 90})
}

// backendsOf returns the stand-ins of a service.
func (r *rig) backendsOf(service string) (list []*fleet.Backend) {
	for _, b := range r.Backends {
		if string(b.Service) == service {
			list = append(list, b)
		}
	}
	return list
}
