package bulk

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// TestSecondSubmissionEndsItems guards against items that are errored by the times, the route or the configuration of a later submission
// of their job, at the same owner or at one that hasn't loaded the job.
func TestSecondSubmissionEndsItems(t *testing.T) {
	store := memory.New()
	former := newFixture(t, store)
	other := newFixture(t, store) // has loaded the shard before the job is stored
	first := job(3, 10)
	first.Configuration = 1
	former.Assert(former.submit(first), qt.Equals, bulk.Done)
	second := job(3, 10)
	second.GiveUpAt, second.Due = time.Now().Add(-time.Second), time.Now()
	second.Route, second.Configuration = "none", 0
	for _, f := range []*fixture{former, other} {
		f.Assert(f.submit(second), qt.Equals, bulk.Done)
		f.checkNoneErrored("a")
		f.do(func() {
			r, ok := f.owner.ledger.Job("a", "w")
			f.Assert(ok, qt.IsTrue)
			f.Check(r.Job.GiveUpAt.Equal(first.GiveUpAt), qt.IsTrue)
			f.Check(r.Job.Route, qt.Equals, "r")
			f.Check(r.Job.Configuration, qt.Equals, first.Configuration)
			f.Check(f.owner.ledger.WaitingTokens("w", "none"), qt.Equals, int64(0))
		})
	}
	other.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 2})
	other.eventually(func() bool { return other.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.Done })
	other.checkNoneErrored("a")
}
