package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/slots"
)

// runOf returns the present run of an item, nil without one.
func (f *fixture) runOf(item bulk.ItemID) (run *itemRun) {
	f.do(func() { run = f.owner.runs[runKey{"a", item}] })
	return run
}

// TestHandOverForgetsFailures guards against an item that its servers see more than three times as often as its route allows, because
// each new owner counts its failures from 0.
func TestHandOverForgetsFailures(t *testing.T) {
	store := memory.New()
	third := newFixtureWithoutShards(t, store, unreachableOwner{})
	second := newFixtureWithoutShards(t, store, successor{third})
	first := newFixtureWithoutShards(t, store, successor{second})
	first.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	first.eventually(func() bool { return first.submit(job(2, 10)) == bulk.Done })
	first.eventually(func() bool { return first.runOf("aa") != nil })
	first.runOf("aa").reportedFailures.Store(2)
	for n, owners := range [][2]*fixture{{first, second}, {second, third}} {
		owners[0].owner.SetShards(nil)
		owners[1].owner.SetShards(map[bulk.Shard]ids.Epoch{3: ids.Epoch(n + 2)})
		owners[1].eventually(func() bool {
			run := owners[1].runOf("aa")
			return run != nil && run.knownFailures().Count == 2
		})
		owners[1].Assert(owners[1].runOf("ab").knownFailures().Count, qt.Equals, 0)
	}
}

// TestRepeatedReportCountsFailuresTwice guards against an item that is errored too early, because a report of its failures came twice or
// beside failures that this owner counted.
func TestRepeatedReportCountsFailuresTwice(t *testing.T) {
	f := newFixture(t, memory.New())
	f.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
	f.eventually(func() bool { return f.runOf("aa") != nil })
	report := bulk.Call{Op: bulk.HandOverProgress, Job: "a", Progress: &bulk.Progress{Failures: []bulk.ItemFailures{{Item: "aa", Count: 2}}}}
	for range 3 {
		f.Assert(f.call(report).Code, qt.Equals, bulk.Done)
		f.Assert(f.runOf("aa").knownFailures().Count, qt.Equals, 2)
	}
	i := newItemRun(t)
	i.reportedFailures.Store(1)
	failing := newFailingServer(t)
	for _, want := range []sendResult{itemRetry, itemErrored} {
		qt.Assert(t, i.send(t.Context(), &catalog.Route{MaxAttempts: 3}, &slots.Slot{Server: failing, Yielded: make(chan struct{})}), qt.Equals, want)
	}
}

// formerProgress is a report as releases wrote and read it that didn't hand failures over.
type formerProgress struct {
	Results        []bulk.Result        `cbor:"1,keyasint,omitempty"`
	PartialAnswers []bulk.PartialAnswer `cbor:"2,keyasint,omitempty"`
}

// TestFailuresAtFormerRelease guards against a report that a former release can't read, or that can't be read from one.
func TestFailuresAtFormerRelease(t *testing.T) {
	c := qt.New(t)
	results := []bulk.Result{{Item: "aa", State: bulk.Completed, Output: "x"}}
	var former formerProgress
	convert(c, bulk.Progress{Results: results, Failures: []bulk.ItemFailures{{Item: "ab", Count: 2}}}, &former)
	c.Assert(former.Results, qt.DeepEquals, results)
	var read bulk.Progress
	convert(c, former, &read)
	c.Assert(read.Results, qt.DeepEquals, results)
	c.Assert(read.Failures, qt.HasLen, 0)
}
