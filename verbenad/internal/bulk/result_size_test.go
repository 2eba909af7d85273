package bulk

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/upstream"
)

// addOutput adds a completed item's output as its run would.
func (f *fixture) addOutput(item bulk.ItemID, output string) {
	f.owner.post(func() {
		record, _ := f.owner.ledger.Job("a", "w")
		f.owner.addResult(record, bulk.Result{Item: item, State: bulk.Completed, Output: output})
	})
}

// listsOutput waits until all items of the job are listed with an output.
func (f *fixture) listsOutput(items int, output string) {
	f.Helper()
	f.eventually(func() bool { return len(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results) == items })
	for _, r := range f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results {
		f.Assert(r.Output, qt.Equals, output)
	}
}

// TestResultsOfMarkupAreListed guards against results that are never listed: those that pile up while the store is
// unavailable fill a segment by their encoded size, in which markup takes six times its length.
func TestResultsOfMarkupAreListed(t *testing.T) {
	store := memory.New()
	store.SetValueLimit(4096)
	f := newFixture(t, store)
	f.Assert(f.submit(job(12, 10)), qt.Equals, bulk.Done)
	store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	output := strings.Repeat("<td>&", 50)
	for n := range 12 {
		f.addOutput(bulk.ItemID("a"+string(rune('a'+n))), output)
	}
	store.SetFault(nil)
	f.listsOutput(12, output)
}

// TestSegmentRefusedAsTooLarge guards against a segment that is written for ever: a store that accepts less than its
// settings say gets fewer results at once.
func TestSegmentRefusedAsTooLarge(t *testing.T) {
	store := memory.New()
	store.SetValueLimit(700)
	f := newFixture(t, store)
	f.Assert(f.submit(job(4, 10)), qt.Equals, bulk.Done)
	store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	output := strings.Repeat("x", 400)
	for n := range 4 {
		f.addOutput(bulk.ItemID("a"+string(rune('a'+n))), output)
	}
	store.SetFault(nil)
	f.listsOutput(4, output)
	f.Assert(f.segmentCount(), qt.Equals, 4)
}

// TestOutputFitsASegment guards against a single output that can't be stored: its limit applies to its encoded size.
func TestOutputFitsASegment(t *testing.T) {
	for _, data := range []string{"plain text", "<tr><td>1</td></tr>", "\x01\x02\x03", "\n\n", "a\xc5"} {
		f := newFixture(t, memory.New())
		run := &itemRun{owner: f.owner}
		last := ""
		for run.appendEvents([]upstream.Event{{Data: []byte(data)}}) {
			last = string(run.output)
		}
		raw, err := json.Marshal(bulk.Segment{Results: []bulk.Result{{Item: "aa", Output: last}}, Writer: "host/1"})
		f.Assert(err, qt.IsNil)
		f.Assert(len(raw) < f.owner.valueBytes, qt.IsTrue, qt.Commentf("%q: %d bytes", data, len(raw)))
		f.Assert(len(raw) > f.owner.valueBytes/4, qt.IsTrue, qt.Commentf("%q: %d bytes", data, len(raw)))
		run.dropOutput()
		f.Assert(run.outputBytes, qt.Equals, 0)
	}
}

// TestOversizedResultOfFormerOwnerIsDropped guards against a job that stays open because of a former owner's result that
// can't be stored: the item runs again, and the others are listed.
func TestOversizedResultOfFormerOwnerIsDropped(t *testing.T) {
	store := memory.New()
	store.SetValueLimit(4096)
	f := newFixture(t, store)
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	tooLong := strings.Repeat("<", 1300)
	f.Assert(objects.EncodedSize(tooLong) > 4096, qt.IsTrue)
	f.call(bulk.Call{Op: bulk.HandOverProgress, Job: "a", Progress: &bulk.Progress{Results: []bulk.Result{
		{Item: "aa", State: bulk.Completed, Output: tooLong}, {Item: "ab", State: bulk.Completed, Output: "x"},
	}}})
	f.listsOutput(1, "x")
}
