package bulk

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// TestResultsOfJobWithDots guards against results that are gone after their shard is loaded again: a job's id may hold dots,
// as the names of its segments do.
func TestResultsOfJobWithDots(t *testing.T) {
	for _, id := range []ids.JobID{"a.b", ".a", "a.", "a.00001"} {
		f := newFixture(t, memory.New())
		j := job(1, 10)
		j.ID = id
		f.Assert(f.submit(j), qt.Equals, bulk.Done)
		f.owner.post(func() {
			record, _ := f.owner.ledger.Job(id, "w")
			f.owner.addResult(record, bulk.Result{Item: "aa", State: bulk.Completed, Output: "x"})
		})
		f.eventually(func() bool { return f.segmentCount() == 1 })
		next := newFixture(t, f.store)
		next.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: id}).Results, qt.HasLen, 1, qt.Commentf("%s", id))
	}
}
