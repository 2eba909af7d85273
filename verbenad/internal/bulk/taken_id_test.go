package bulk

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// submitAs submits a job for a workspace.
func (f *fixture) submitAs(w ids.WorkspaceID, j *bulk.Job) bulk.Code {
	j.Workspace = w
	call := bulk.Call{Op: bulk.Submit, Job: j.ID, Workspace: w, New: j, Remaining: time.Second}
	return f.owner.Answer(context.Background(), hostlink.JobsCall{Shard: 3, Call: call}).Code
}

// TestJobOfOtherWorkspaceIsTakenForOwn guards against a job that is accepted and never runs, because a job of another workspace in
// the same shard has its id.
func TestJobOfOtherWorkspaceIsTakenForOwn(t *testing.T) {
	for name, items := range map[string]int{"one object": 1, "in parts": 9} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, memory.New())
			f.Assert(f.submitAs("w", job(items, 1000)), qt.Equals, bulk.Done)
			f.Check(f.submitAs("v", job(items, 1000)), qt.Equals, bulk.IDTaken)
			f.Check(f.submitAs("w", job(items, 1000)), qt.Equals, bulk.Done)
			other := newFixtureWithoutShards(t, f.store, unreachableOwner{})
			f.owner.SetShards(nil)
			other.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
			other.eventually(func() bool { return other.submitAs("v", job(items, 1000)) == bulk.IDTaken })
		})
	}
	t.Run("not loaded", func(t *testing.T) {
		f := newFixture(t, memory.New())
		f.Assert(newFixture(t, f.store).submitAs("w", job(1, 10)), qt.Equals, bulk.Done)
		f.Check(f.submitAs("v", job(1, 10)), qt.Equals, bulk.IDTaken)
	})
}
