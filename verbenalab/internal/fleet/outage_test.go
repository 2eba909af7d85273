package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

// TestRateInOutage takes the platform away for ten leases while a tenant sends
// three fifths of its rate: hardly anything is refused, and nothing goes over.
func TestRateInOutage(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 150
	var c collect
	for i := range n {
		if i == 12 {
			r.Assert(r.SetFaults(platform.Faults{Down: true}), qt.IsNil)
		}
		c.add(func() load.Answer { return r.ask(r.Hosts[i%len(r.Hosts)], "desk", fmt.Sprint("note ", i)) })
		time.Sleep(time.Second / 6)
	}
	answers := c.all()
	r.Assert(r.SetFaults(platform.Faults{}), qt.IsNil)
	refused := n - codes(answers)[""]
	worst, _ := r.excess("desk")
	t.Logf("%d of %d refused: %v", refused, n, codes(answers))
	r.Assert(refused <= n/100, qt.IsTrue)
	r.Assert(worst <= 1e-3, qt.IsTrue)
}

// TestBatchInOutage takes the platform away in mid-job: items go on being done while
// results can be held, and each is in the output once.
func TestBatchInOutage(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 900
	b := r.submit("bridged", n, 24)
	r.eventually(jobLimit, "progress", func() bool { return r.progress(b) >= 20 })
	r.Assert(r.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	time.Sleep(4 * time.Second)
	early := r.itemsRun(b)
	time.Sleep(6 * time.Second)
	late := r.itemsRun(b)
	r.Assert(r.SetFaults(platform.Faults{}), qt.IsNil)
	t.Logf("%d items had been run 4 s into the outage, %d after 10 s", early, late)
	r.Assert(late > early || late >= n, qt.IsTrue)
	r.finish(b, "bridged", n)
}
