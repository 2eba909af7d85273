package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

// TestRateDuringOutage takes the platform down for more than ten lease durations while a workspace sends requests at
// three fifths of its rate. At most 1 % of them may be refused, and the rate must not be exceeded.
func TestRateDuringOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 150
	var collector answerCollector
	for i := range n {
		if i == 12 {
			f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
		}
		collector.collect(func() load.Answer { return f.chat(f.Hosts[i%len(f.Hosts)], "desk", fmt.Sprint("note ", i)) })
		time.Sleep(time.Second / 6)
	}
	answers := collector.wait()
	f.Assert(f.SetFaults(platform.Faults{}), qt.IsNil)
	refused := n - countCodes(answers)[""]
	maxExcess, _ := f.maxRateExcess("desk")
	t.Logf("%d of %d refused: %v", refused, n, countCodes(answers))
	f.Assert(refused <= n/100, qt.IsTrue)
	f.Assert(maxExcess <= 1e-3, qt.IsTrue)
}

// TestBatchItemsDuringOutage takes the platform down during a job. Items must continue to run while the owner can hold
// their results in memory, and each must be in the output once.
func TestBatchItemsDuringOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 900
	b := f.submitBatch("bridged", n, 24)
	f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(b) >= 20 })
	f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	time.Sleep(4 * time.Second)
	early := f.countItemRuns(b)
	time.Sleep(6 * time.Second)
	late := f.countItemRuns(b)
	f.Assert(f.SetFaults(platform.Faults{}), qt.IsNil)
	t.Logf("%d items had been run 4 s into the outage, %d after 10 s", early, late)
	f.Assert(late > early || late >= n, qt.IsTrue)
	f.awaitResults(b, "bridged", n)
}
