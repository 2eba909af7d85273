package bulk

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/origin"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/upstream"
)

// successor delivers reports to another owner, retrying until that one owns the shard.
type successor struct{ fixture *fixture }

func (s successor) Call(ctx context.Context, c bulk.Call) (r bulk.Reply) {
	for range 500 {
		if r = s.fixture.owner.Answer(ctx, hostlink.JobsCall{Shard: 3, Call: c}); r.Code == bulk.Done {
			return r
		}
		time.Sleep(5 * time.Millisecond)
	}
	return r
}

// TestResultsAreHandedOver: results that a former owner could not write become visible at the new owner, without
// another run, whichever of them learns first of the change of owner.
func TestResultsAreHandedOver(t *testing.T) {
	for _, formerFirst := range []bool{true, false} {
		c := qt.New(t)
		store := memory.New()
		next := newFixtureWithoutShards(t, store, unreachableOwner{})
		former := newFixtureWithoutShards(t, store, successor{next})
		former.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
		j := job(3, 10)
		former.eventually(func() bool { return former.submit(j) == bulk.Done })
		former.lease.lost.Store(true)
		former.owner.post(func() {
			r, _ := former.owner.ledger.Job("a", "w")
			former.owner.addResult(r, bulk.Result{Item: "ab", State: bulk.Completed, Output: "once"})
		})
		takeOver := func() { next.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 2}) }
		if !formerFirst {
			takeOver()
		}
		former.owner.SetShards(nil)
		if formerFirst {
			takeOver()
		}
		next.eventually(func() bool {
			r := next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
			return len(r.Results) == 1 && r.Results[0].Output == "once"
		})
		former.eventually(func() bool { return former.owner.ProgressSent(t.Context()) })
		c.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Next, qt.Equals, 1)
	}
}

// lateSuccessor is a successor that learns late that it owns the shard: it replies to the first calls that it doesn't.
type lateSuccessor struct {
	successor
	refusals *atomic.Int64
}

func (s lateSuccessor) Call(ctx context.Context, c bulk.Call) bulk.Reply {
	if s.refusals.Add(-1) >= 0 {
		return unavailable
	}
	return s.successor.Call(ctx, c)
}

// TestResultsAreHandedOverLate guards against results that are lost, so that their items run again, because the new owner learns of
// its shards later than a call waits for it.
func TestResultsAreHandedOverLate(t *testing.T) {
	store := memory.New()
	next := newFixtureWithoutShards(t, store, unreachableOwner{})
	var refusals atomic.Int64
	refusals.Store(3)
	former := newFixtureWithoutShards(t, store, lateSuccessor{successor{next}, &refusals})
	former.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	former.eventually(func() bool { return former.submit(job(3, 10)) == bulk.Done })
	former.lease.lost.Store(true)
	former.owner.post(func() {
		r, _ := former.owner.ledger.Job("a", "w")
		former.owner.addResult(r, bulk.Result{Item: "ab", State: bulk.Completed, Output: "once"})
	})
	former.owner.SetShards(nil)
	next.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 2})
	former.eventually(func() bool { return former.owner.ProgressSent(t.Context()) })
	next.eventually(func() bool {
		r := next.call(bulk.Call{Op: bulk.ReadResults, Job: "a"})
		return len(r.Results) == 1 && r.Results[0].Output == "once"
	})
}

// TestPartialAnswersAreHandedOver: an item resumes from the longest known beginning of its answer.
func TestPartialAnswersAreHandedOver(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, memory.New())
	c.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Done)
	began := origin.Origin{Service: "llm", Version: "1"}
	partial := bulk.PartialAnswer{Item: "aa", Text: []byte("one\ntwo"), Events: 2, LastEventID: "2", Origin: &began}
	handOver := bulk.Call{Op: bulk.HandOverProgress, Job: "a", Progress: &bulk.Progress{PartialAnswers: []bulk.PartialAnswer{partial}}}
	c.Assert(f.call(handOver).Code, qt.Equals, bulk.Done)
	var run *itemRun
	f.eventually(func() bool {
		run, _ = query(t.Context(), f.owner, func() *itemRun { return f.owner.runs[runKey{"a", "aa"}] })
		return run != nil
	})
	c.Assert(run.partial.Load(), qt.IsNotNil)
	received := run.partial.Load()
	run = &itemRun{owner: f.owner} // the owner's run is in use by its goroutine
	run.partial.Store(received)
	c.Assert(run.resumption(), qt.DeepEquals, &dispatch.Resumption{Known: true, Origin: began})
	run.resumeFromPartial(began)
	c.Assert(string(run.output), qt.Equals, "one\ntwo")
	c.Assert(run.origin, qt.Equals, began)
	c.Assert(run.resumption(), qt.DeepEquals, &dispatch.Resumption{Known: true, Origin: began})
	c.Assert(run.appendEvent(upstream.Event{ID: "3", Data: []byte("three")}), qt.IsTrue)
	c.Assert(string(run.output), qt.Equals, "one\ntwo\nthree")
	run.partial.Store(&partial)
	run.resumeFromPartial(began)
	c.Assert(run.events, qt.Equals, 3, qt.Commentf("a shorter partial answer replaced a longer one"))
}

// TestUnknownProgressIsIgnored: reports on jobs that have ended or don't exist change nothing.
func TestUnknownProgressIsIgnored(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, memory.New())
	c.Assert(f.submit(job(1, 10)), qt.Equals, bulk.Done)
	c.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
	results := &bulk.Progress{Results: []bulk.Result{{Item: "aa", State: bulk.Completed, Output: "x"}}}
	c.Assert(f.call(bulk.Call{Op: bulk.HandOverProgress, Job: "a", Progress: results}).Code, qt.Equals, bulk.Done)
	c.Assert(f.call(bulk.Call{Op: bulk.HandOverProgress, Job: "none", Progress: results}).Code, qt.Equals, bulk.Done)
	c.Assert(f.call(bulk.Call{Op: bulk.HandOverProgress, Job: "a"}).Code, qt.Equals, bulk.Unavailable)
	c.Assert(f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Results, qt.HasLen, 0)
}
