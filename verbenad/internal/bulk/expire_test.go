package bulk

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
)

// submitExpiring accepts a job in parts, whose retention has passed, and a second job; the first one has two segments.
func (f *fixture) submitExpiring() {
	f.Helper()
	j := job(9, 1000)
	j.Submitted = time.Now().Add(-time.Hour)
	f.Assert(f.submit(j), qt.Equals, bulk.Done)
	f.addOutput("aa", "x")
	f.eventually(func() bool { return f.segmentCount() == 1 })
	f.addOutput("ab", "x")
	f.eventually(func() bool { return f.segmentCount() == 2 })
	other := job(1, 10)
	other.ID = "b"
	f.Assert(f.submit(other), qt.Equals, bulk.Done)
}

// objectsOf returns the names of all stored objects of a job.
func (f *fixture) objectsOf(id ids.JobID) (names []string) {
	for _, k := range []objects.Kind{kindJobs(3), kindParts(3), kindResults(3)} {
		l, err := f.store.List(f.Context(), k, false)
		f.Assert(err, qt.IsNil)
		for _, o := range l.Objects {
			if o.Name == string(id) || len(o.Name) > len(id) && o.Name[:len(id)+1] == string(id)+"." {
				names = append(names, fmt.Sprintf("%s/%s", k, o.Name))
			}
		}
	}
	return names
}

// TestDeletionCutOffAtAnyStep guards against a shard that can't be loaded because the deletion of an expired job was cut off: at each
// step calls are lost or refused and the owner loses the shard. The next owner loads it and deletes the rest.
func TestDeletionCutOffAtAnyStep(t *testing.T) {
	// The deletion takes 3 segment names, the parts, and two writes of the job's own object; the last steps cut off nothing.
	const steps = 14
	for name, fault := range map[string]memory.Fault{"answer lost": memory.LoseAnswer, "call lost": memory.LoseCall, "refused": memory.Refuse} {
		for step := int64(1); step <= steps; step++ {
			t.Run(fmt.Sprintf("%s at %d", name, step), func(t *testing.T) {
				t.Parallel()
				cutDeletionOff(t, fault, step)
			})
		}
	}
}

// cutDeletionOff faults the writes of a job's deletion from a step on, moves the shard to another owner, and checks what it
// finds.
func cutDeletionOff(t *testing.T, fault memory.Fault, step int64) {
	f := newFixture(t, memory.New())
	f.submitExpiring()
	var writes atomic.Int64
	f.store.SetFault(func(op memory.Op) memory.Fault {
		deletion := op.Verb == "delete" || op.Verb == "replace"
		if deletion && writes.Add(1) >= step {
			return fault
		}
		return memory.None
	})
	f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
	f.eventually(func() bool { return writes.Load() >= step || len(f.objectsOf("a")) == 0 })
	f.owner.SetShards(nil)
	f.store.SetFault(nil)
	next := newFixture(t, f.store)
	next.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: "b"}).Code, qt.Equals, bulk.Done)
	next.eventually(func() bool { return len(next.objectsOf("a")) == 0 })
	next.Assert(next.objectsOf("b"), qt.HasLen, 1)
}

// TestDeletionOfFormerReleaseIsFinished guards against a shard that can't be loaded after a former release has deleted only
// the parts of an expired job.
func TestDeletionOfFormerReleaseIsFinished(t *testing.T) {
	f := newFixture(t, memory.New())
	f.submitExpiring()
	f.owner.SetShards(nil)
	f.Assert(f.store.Delete(t.Context(), kindParts(3), partName("a", 2), 0), qt.IsNil)
	next := newFixture(t, f.store)
	f.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: "b"}).Code, qt.Equals, bulk.Done)
	next.eventually(func() bool { return len(next.objectsOf("a")) == 0 })
}

// TestUnreadableJobHoldsUpNoOther guards against a shard whose jobs are all unavailable because of one of them: a job with a
// missing part or with unreadable results is answered as unavailable, the others are served.
func TestUnreadableJobHoldsUpNoOther(t *testing.T) {
	spoil := map[string]func(*fixture) error{
		"missing part": func(f *fixture) error { return f.store.Delete(f.Context(), kindParts(3), partName("a", 2), 0) },
		"unreadable part": func(f *fixture) error {
			_, err := f.store.Replace(f.Context(), kindParts(3), partName("a", 1), 0, "no list of items")
			return err
		},
		"unreadable results": func(f *fixture) error {
			_, err := f.store.Create(f.Context(), kindResults(3), segmentName("a", 0), "no segment")
			return err
		},
		"unreadable job": func(f *fixture) error {
			_, err := f.store.Replace(f.Context(), kindJobs(3), "a", 0, "no job")
			return err
		},
	}
	for name, change := range spoil {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, memory.New())
			f.Assert(f.submit(job(9, 1000)), qt.Equals, bulk.Done)
			other := job(1, 10)
			other.ID = "b"
			f.Assert(f.submit(other), qt.Equals, bulk.Done)
			f.owner.SetShards(nil)
			f.Assert(change(f), qt.IsNil)
			next := newFixture(t, f.store)
			f.Assert(next.call(bulk.Call{Op: bulk.ReadResults, Job: "b"}).Code, qt.Equals, bulk.Done)
			for _, op := range []bulk.Op{bulk.ReadResults, bulk.ReadBody, bulk.EndJob} {
				f.Assert(next.call(bulk.Call{Op: op, Job: "a", Item: "aa"}).Code, qt.Equals, bulk.Unavailable)
			}
			f.Assert(next.submit(job(9, 1000)), qt.Equals, bulk.Unavailable)
		})
	}
}

// TestIDIsFreeOnlyAfterDeletion guards against a new job that loses its objects to the deletion of an expired one with the
// same id.
func TestIDIsFreeOnlyAfterDeletion(t *testing.T) {
	f := newFixture(t, memory.New())
	f.submitExpiring()
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "delete" {
			return memory.Refuse
		}
		return memory.None
	})
	f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done)
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Code == bulk.NotFound })
	f.Assert(f.submit(job(2, 10)), qt.Equals, bulk.Unavailable)
	f.store.SetFault(nil)
	f.eventually(func() bool { return f.submit(job(2, 10)) == bulk.Done })
	time.Sleep(4 * retryPause)
	f.Assert(newFixture(t, f.store).call(bulk.Call{Op: bulk.ReadResults, Job: "a"}).Total, qt.Equals, 2)
}

// TestExpiredJobIsReadableByFormerRelease: hosts of former releases load the shard beside a job that is being deleted.
func TestExpiredJobIsReadableByFormerRelease(t *testing.T) {
	c := qt.New(t)
	raw, err := json.Marshal(asExpired(bulk.Job{ID: "a", Workspace: "w", Parts: 3, Items: []bulk.Item{{ID: "aa"}}}, 2))
	c.Assert(err, qt.IsNil)
	var j bulk.Job
	c.Assert(json.Unmarshal(raw, &j), qt.IsNil)
	c.Assert(j, qt.DeepEquals, bulk.Job{ID: "a", Workspace: "w"})
}
