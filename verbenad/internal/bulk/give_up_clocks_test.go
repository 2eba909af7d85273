package bulk

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
)

// wallClock is a host's time of day, which differs from that of the test by an offset. Its times have no monotonic reading.
type wallClock struct{ offset atomic.Int64 }

func newWallClock(offset time.Duration) *wallClock {
	w := &wallClock{}
	w.offset.Store(int64(offset))
	return w
}

func (w *wallClock) Now() time.Time {
	return time.Now().Round(0).Add(time.Duration(w.offset.Load()))
}

// newFixtureWithClock returns a fixture whose owner has a clock of its own and has loaded shard 3.
func newFixtureWithClock(t *testing.T, store *memory.Store, w *wallClock) *fixture {
	f := newFixtureWithoutShards(t, store, unreachableOwner{})
	f.do(func() { f.owner.clock = w })
	f.owner.SetShards(map[bulk.Shard]ids.Epoch{3: 1})
	f.eventually(func() bool { return f.call(bulk.Call{Op: bulk.ReadResults, Job: "none"}).Code == bulk.NotFound })
	return f
}

// jobGivenUpAfter returns a job that an entry host with the test's clock accepts now.
func jobGivenUpAfter(d time.Duration) *bulk.Job {
	j := job(1, 10)
	j.GiveUpAt = j.Submitted.Add(d)
	return j
}

// givenUpAfter waits until the job's item is listed as errored and returns how long after its submission that was.
func (f *fixture) givenUpAfter(j *bulk.Job) time.Duration {
	f.Helper()
	f.eventually(func() bool {
		reply := f.call(bulk.Call{Op: bulk.ReadResults, Job: j.ID})
		return len(reply.Results) == 1 && reply.Results[0].State == bulk.Errored
	})
	return time.Since(j.Submitted)
}

// TestOwnerAheadOfEntryHostGivesUpInTime guards against items that are listed as errored before their route's time has passed, because
// the owner's time of day is ahead of that of the entry host.
func TestOwnerAheadOfEntryHostGivesUpInTime(t *testing.T) {
	t.Parallel()
	f := newFixtureWithClock(t, memory.New(), newWallClock(5*time.Second))
	j := jobGivenUpAfter(time.Second)
	f.Assert(f.submit(j), qt.Equals, bulk.Done)
	f.Assert(f.givenUpAfter(j) >= time.Second, qt.IsTrue)
}

// TestOwnerWhoseClockStepsGivesUpInTime is TestOwnerAheadOfEntryHostGivesUpInTime for a time of day that steps while the job is open.
func TestOwnerWhoseClockStepsGivesUpInTime(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]time.Duration{"ahead": time.Minute, "back": -time.Minute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWallClock(0)
			f := newFixtureWithClock(t, memory.New(), w)
			j := jobGivenUpAfter(time.Second)
			f.Assert(f.submit(j), qt.Equals, bulk.Done)
			w.offset.Store(int64(step))
			f.Assert(f.givenUpAfter(j) >= time.Second, qt.IsTrue)
		})
	}
}

// TestNextOwnerGivesUpInTime is TestOwnerAheadOfEntryHostGivesUpInTime for an owner that knows the job's times from the store only.
func TestNextOwnerGivesUpInTime(t *testing.T) {
	t.Parallel()
	for name, offset := range map[string]time.Duration{"ahead": 4 * time.Second, "far behind": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := memory.New()
			j := jobGivenUpAfter(time.Second)
			f := newFixtureWithClock(t, store, newWallClock(0))
			f.Assert(f.submit(j), qt.Equals, bulk.Done)
			next := newFixtureWithClock(t, store, newWallClock(offset))
			f.owner.SetShards(nil)
			f.Assert(next.givenUpAfter(j) >= time.Second, qt.IsTrue)
		})
	}
}

// TestSlotRequestStatesTimeLeft guards against a request for a slot that states too little time until the item is due or given up, since
// the owner's time of day is ahead of that of the entry host.
func TestSlotRequestStatesTimeLeft(t *testing.T) {
	t.Parallel()
	f, s := newScriptedFixture(t, false)
	f.do(func() { f.owner.clock = newWallClock(2 * time.Hour) })
	j := jobGivenUpAfter(time.Hour)
	f.Assert(f.submit(j), qt.Equals, bulk.Done)
	request := <-s.requests
	left, untilDue := request.Remaining, request.Objective
	f.Check(left > 59*time.Minute && left <= time.Hour, qt.IsTrue, qt.Commentf("%v", left))
	f.Check(untilDue > 30*time.Second && untilDue <= time.Minute, qt.IsTrue, qt.Commentf("%v", untilDue))
}
