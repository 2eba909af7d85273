package bulk

import (
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

// expiringJob returns a job in parts whose retention has passed.
func expiringJob() *bulk.Job {
	j := job(9, 1000)
	j.Submitted = time.Now().Add(-time.Hour)
	return j
}

// faultFirst sets a fault for the first creation of an object of a kind.
func (f *fixture) faultFirst(kind objects.Kind, fault memory.Fault) {
	var done atomic.Bool
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" && op.Kind == kind && !done.Swap(true) {
			return fault
		}
		return memory.None
	})
}

// TestNothingOfExpiredJobIsLeft guards against a store that fills up with parts of expired jobs, whichever way the job was
// accepted.
func TestNothingOfExpiredJobIsLeft(t *testing.T) {
	// Each accepts a job and returns the owner that has it at last.
	paths := map[string]func(*fixture) *fixture{
		"new": func(f *fixture) *fixture {
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Done)
			return f
		},
		"answer to the job's own object lost": func(f *fixture) *fixture {
			f.faultFirst(kindJobs(3), memory.LoseAnswer)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Done)
			return f
		},
		"answer to a part lost": func(f *fixture) *fixture {
			f.faultFirst(kindParts(3), memory.LoseAnswer)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Unavailable)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Done)
			return f
		},
		"own object refused": func(f *fixture) *fixture {
			f.faultFirst(kindJobs(3), memory.Refuse)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Unavailable)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Done)
			return f
		},
		"another host accepted it first": func(f *fixture) *fixture {
			other := newFixture(f.TB.(*testing.T), f.store)
			f.Assert(other.submit(expiringJob()), qt.Equals, bulk.Done)
			other.owner.SetShards(nil)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Done)
			return f
		},
		"handed over": func(f *fixture) *fixture {
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Done)
			f.owner.SetShards(nil)
			return newFixture(f.TB.(*testing.T), f.store)
		},
		"handed over before its own object": func(f *fixture) *fixture {
			f.faultFirst(kindJobs(3), memory.Refuse)
			f.Assert(f.submit(expiringJob()), qt.Equals, bulk.Unavailable)
			f.owner.SetShards(nil)
			next := newFixture(f.TB.(*testing.T), f.store)
			next.Assert(next.submit(expiringJob()), qt.Equals, bulk.Done)
			return next
		},
	}
	ends := map[string]func(*fixture){
		"ended": func(f *fixture) { f.Assert(f.call(bulk.Call{Op: bulk.EndJob, Job: "a"}).Code, qt.Equals, bulk.Done) },
		"complete": func(f *fixture) {
			for _, i := range expiringJob().Items {
				f.addResult(i.ID)
			}
		},
	}
	for path, accept := range paths {
		for end, finish := range ends {
			t.Run(path+", "+end, func(t *testing.T) {
				t.Parallel()
				owner := accept(newFixture(t, memory.New()))
				owner.Assert(len(owner.objectsOf("a")) > 1, qt.IsTrue)
				finish(owner)
				owner.eventually(func() bool { return len(owner.objectsOf("a")) == 0 })
			})
		}
	}
}

// newSweepingFixture returns a fixture whose owner has loaded shard 3 and soon deletes parts without a job.
func newSweepingFixture(t *testing.T, store *memory.Store) *fixture {
	f := newFixtureWithoutShards(t, store, unreachableOwner{})
	f.owner.orphanAge = 50 * time.Millisecond
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "none"}).Code == bulk.NotFound })
	return f
}

// TestPartsWithoutJobAreDeleted guards against a store that fills up with the parts of jobs that weren't accepted and aren't
// submitted again. Parts of accepted and of unreadable jobs stay.
func TestPartsWithoutJobAreDeleted(t *testing.T) {
	faults := map[string]func(*fixture){
		"own object refused": func(f *fixture) { f.faultFirst(kindJobs(3), memory.Refuse) },
		"part refused": func(f *fixture) {
			f.store.SetFault(func(op memory.Op) memory.Fault {
				if op.Verb == "create" && op.Name == partName("a", 2) {
					return memory.Refuse
				}
				return memory.None
			})
		},
		"answer to a part lost": func(f *fixture) { f.faultFirst(kindParts(3), memory.LoseAnswer) },
	}
	for name, set := range faults {
		for _, handedOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, handed over %t", name, handedOver), func(t *testing.T) {
				t.Parallel()
				f := newSweepingFixture(t, memory.New())
				accepted := job(9, 1000)
				accepted.ID = "b.1"
				f.Assert(f.submit(accepted), qt.Equals, bulk.Done)
				set(f)
				f.Assert(f.submit(job(9, 1000)), qt.Equals, bulk.Unavailable)
				if handedOver {
					f.owner.SetShards(nil)
					f = newSweepingFixture(t, f.store)
				}
				kept := len(f.objectsOf("b.1"))
				f.eventually(func() bool { return len(f.objectsOf("a")) == 0 })
				f.Assert(f.objectsOf("b.1"), qt.HasLen, kept)
				f.store.SetFault(nil)
				f.eventually(func() bool { return f.submit(job(9, 1000)) == bulk.Done }) // unavailable until the deletion has ended
				time.Sleep(4 * f.owner.orphanAge)
				f.Assert(newFixture(t, f.store).call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "ai"}).Code, qt.Equals, bulk.Done)
			})
		}
	}
}

// TestPartsOfJobThatIsNotLoadedStay guards against the loss of parts whose job exists and isn't in the ledger: another host has
// accepted it, or it can't be read.
func TestPartsOfJobThatIsNotLoadedStay(t *testing.T) {
	t.Run("other host", func(t *testing.T) {
		f := newSweepingFixture(t, memory.New())
		f.Assert(newFixture(t, f.store).submit(job(9, 1000)), qt.Equals, bulk.Done)
		stored := f.objectsOf("a")
		time.Sleep(6 * f.owner.orphanAge)
		f.Assert(f.objectsOf("a"), qt.DeepEquals, stored)
	})
	t.Run("unreadable", func(t *testing.T) {
		store := memory.New()
		f := newFixture(t, store)
		f.Assert(f.submit(job(9, 1000)), qt.Equals, bulk.Done)
		f.owner.SetShards(nil)
		_, err := store.Replace(t.Context(), kindJobs(3), "a", 0, "no job")
		f.Assert(err, qt.IsNil)
		stored := f.objectsOf("a")
		next := newSweepingFixture(t, store)
		time.Sleep(6 * next.owner.orphanAge)
		f.Assert(f.objectsOf("a"), qt.DeepEquals, stored)
	})
}

// TestPartsOfOpenSubmissionStay guards against the loss of parts while their job's own object is being written.
func TestPartsOfOpenSubmissionStay(t *testing.T) {
	f := newSweepingFixture(t, memory.New())
	var held atomic.Bool
	held.Store(true)
	f.store.SetFault(func(op memory.Op) memory.Fault {
		if op.Verb == "create" && op.Kind == kindJobs(3) && held.Load() {
			return memory.LoseCall
		}
		return memory.None
	})
	time.AfterFunc(8*f.owner.orphanAge, func() { held.Store(false) })
	f.Assert(f.submit(job(9, 1000)), qt.Equals, bulk.Done)
	f.Assert(newFixture(t, f.store).call(bulk.Call{Op: bulk.ReadBody, Job: "a", Item: "ai"}).Code, qt.Equals, bulk.Done)
}
