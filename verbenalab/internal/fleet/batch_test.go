package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

const jobTimeout = 90 * time.Second

// TestBatchOwnerKilled kills the owner of a job at several points between its acceptance and its completion, and reads
// the results from the remaining hosts. Each item must be in the results once.
func TestBatchOwnerKilled(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 400
	for _, tc := range []struct {
		name string
		at   int
	}{
		{"accepted", 0}, {"first", 1}, {"half", n / 2}, {"late", n - 40},
	} {
		b := f.submitBatch(tc.name, n, 16)
		if tc.at > 0 {
			f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(b) >= tc.at })
		}
		var owner *fleet.Host
		f.eventually(10*time.Second, "a daemon owns the job, or it has completed", func() bool {
			if owner = f.findOwner(b); owner == nil && f.completedItems(b) == n {
				owner = f.Hosts[0]
			}
			return owner != nil
		})
		owner.Kill()
		f.awaitResults(b, tc.name, n)
		f.Assert(f.StartHost(owner), qt.IsNil)
		f.Assert(f.WaitReady(), qt.IsNil)
		t.Logf("killed at %s: each of %d items once", tc.name, n)
	}
}

// TestBatchHostLostAfterAcknowledgement kills a host right after it has acknowledged a job, and resends the submission
// to the other hosts concurrently. All submissions must return the same job.
func TestBatchHostLostAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 200
	key := f.keys["archive"]
	file, err := f.caller.Upload(f.ctx, key, batchInput("resent", n, 8))
	f.Assert(err, qt.IsNil)
	firstHostCaller := load.NewCaller(load.NewBalancer([]load.Target{
		{CallerAddress: f.Hosts[0].CallerAddress, AdminAddress: f.Hosts[0].AdminAddress, Weight: 1},
	}))
	first, err := firstHostCaller.Submit(f.ctx, key, file, "resent", "10m")
	f.Assert(err, qt.IsNil)
	f.Hosts[0].Kill()
	jobs := make([]load.Batch, 6)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			b, err := f.caller.Submit(f.ctx, key, file, "resent", "10m")
			f.Check(err, qt.IsNil)
			jobs[i] = b
		})
	}
	wg.Wait()
	for _, b := range jobs {
		f.Assert(b.ID, qt.Equals, first.ID)
	}
	f.awaitResults(first, "resent", n)
}

// TestBatchOwnerPaused pauses the owner for longer than its lease, lets a new owner complete the job, and resumes the
// former owner. Its late results must not appear in the output.
func TestBatchOwnerPaused(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 600
	b := f.submitBatch("paused", n, 24)
	f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(b) >= n/10 })
	owner := f.ownerOf(b)
	owner.Pause()
	f.awaitResults(b, "paused", n)
	owner.Resume()
	time.Sleep(3 * time.Second)
	done, err := f.caller.Status(f.ctx, f.keys["archive"], b.ID)
	f.Assert(err, qt.IsNil)
	f.checkOutput(done, "paused", n)
}

// TestBatchDuringPlatformOutage takes the platform down during a job for longer than a lease, and loses the answers of
// writes before and after the outage.
func TestBatchDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 800
	f.Assert(f.SetFaults(platform.Faults{LoseAnswers: 5}), qt.IsNil)
	b := f.submitBatch("outage", n, 24)
	f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(b) >= n/10 })
	f.Assert(f.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	time.Sleep(6 * time.Second)
	f.Assert(f.SetFaults(platform.Faults{LoseAnswers: 20}), qt.IsNil)
	f.awaitResults(b, "outage", n)
}

// TestBatchAllDaemonsRestarted reads a job's results after every daemon has been killed and restarted.
func TestBatchAllDaemonsRestarted(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 100
	b := f.submitBatch("kept", n, 8)
	f.awaitResults(b, "kept", n)
	for _, h := range f.Hosts {
		h.Kill()
	}
	for _, h := range f.Hosts {
		f.Assert(f.StartHost(h), qt.IsNil)
	}
	f.Assert(f.WaitReady(), qt.IsNil)
	done, err := f.caller.Status(f.ctx, f.keys["archive"], b.ID)
	f.Assert(err, qt.IsNil)
	f.checkOutput(done, "kept", n)
}

// TestBatchCancelled cancels a running job, first in normal operation and then with its owner disconnected from its
// peers. No item may start later than the limit after the cancellation, and the job must end as cancelled.
func TestBatchCancelled(t *testing.T) {
	t.Parallel()
	const limit = 5 * time.Second
	f := newTestFleet(t, withRelays)
	for _, isolated := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "isolated"}[isolated]
		b := f.submitBatch(name, 3000, 24)
		f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(b) > 50 })
		owner := f.ownerOf(b)
		if isolated {
			f.SetPeersBlocked(owner, true)
		}
		_, err := f.caller.Cancel(f.ctx, f.keys["archive"], b.ID)
		f.Assert(err, qt.IsNil)
		time.Sleep(limit)
		started := f.countItemRuns(b)
		time.Sleep(2 * time.Second)
		f.Assert(f.countItemRuns(b), qt.Equals, started, qt.Commentf("items started later than %s after the cancel", limit))
		f.SetPeersBlocked(owner, false)
		f.eventually(jobTimeout, "cancelled", func() bool {
			batch, err := f.caller.Status(f.ctx, f.keys["archive"], b.ID)
			return err == nil && batch.Status == "cancelled"
		})
		t.Logf("%s: %d items were started before the end", name, started)
	}
}

// countItemRuns counts the runs of a job's items on all engines.
func (f *testFleet) countItemRuns(b load.Batch) (n int) {
	runs, _ := f.allRuns()
	for id, k := range runs {
		if len(id) > len("item-"+b.ID) && id[:len("item-"+b.ID)] == "item-"+b.ID {
			n += k
		}
	}
	return n
}

// TestOnlineLatencyDuringBatch sends a burst of online requests while batch items fill every engine. The requests must
// all be answered within a bound on the time to the first token, and the batch must complete.
func TestOnlineLatencyDuringBatch(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	const n = 1500
	b := f.submitBatch("beside", n, 64)
	f.eventually(jobTimeout, "progress", func() bool { return f.completedItems(b) > 50 })
	var collector answerCollector
	for i := range 60 {
		collector.collect(func() load.Answer { return f.chat(nil, "museum", fmt.Sprint("fair day ", i)) })
		time.Sleep(10 * time.Millisecond)
	}
	answers := collector.wait()
	f.Assert(countCodes(answers), qt.DeepEquals, map[string]int{"": 60})
	tally := load.NewTally()
	for _, a := range answers {
		tally.Add(a)
	}
	first := tally.Summary().TimeToFirstToken
	t.Logf("p95 time to first token: %s", first.P95)
	f.Assert(first.P95 <= 1900*time.Millisecond, qt.IsTrue)
	f.awaitResults(b, "beside", n)
}
