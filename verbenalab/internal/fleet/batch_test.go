package fleet_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/platform"
)

const jobLimit = 90 * time.Second

// TestBatchOwnerKilled kills the owner of a job at several points between its
// acceptance and its end, and reads the results at the hosts that are left.
func TestBatchOwnerKilled(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 400
	for _, tc := range []struct {
		name string
		at   int
	}{
		{"accepted", 0}, {"first", 1}, {"half", n / 2}, {"late", n - 40},
	} {
		b := r.submit(tc.name, n, 16)
		if tc.at > 0 {
			r.eventually(jobLimit, "progress", func() bool { return r.progress(b) >= tc.at })
		}
		owner := r.Hosts[0]
		if p := r.progress(b); p < n {
			owner = r.ownerOf(b)
		}
		owner.Kill()
		r.finish(b, tc.name, n)
		r.Assert(r.StartHost(owner), qt.IsNil)
		r.Assert(r.WaitReady(), qt.IsNil)
		t.Logf("killed at %s: each of %d items once", tc.name, n)
	}
}

// TestBatchHostLostAfterAcknowledgement kills the host that acknowledged a job at
// once, and resends the submission to the others at the same time.
func TestBatchHostLostAfterAcknowledgement(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 200
	key := r.keys["archive"]
	file, err := r.caller.Upload(r.ctx, key, items("resent", n, 8))
	r.Assert(err, qt.IsNil)
	only := load.NewCaller(load.NewBalancer([]load.Target{{Caller: r.Hosts[0].Caller, Admin: r.Hosts[0].Admin, Weight: 1}}))
	first, err := only.Submit(r.ctx, key, file, "resent", "10m")
	r.Assert(err, qt.IsNil)
	r.Hosts[0].Kill()
	jobs := make([]load.Batch, 6)
	var wg sync.WaitGroup
	for i := range jobs {
		wg.Go(func() {
			b, err := r.caller.Submit(r.ctx, key, file, "resent", "10m")
			r.Check(err, qt.IsNil)
			jobs[i] = b
		})
	}
	wg.Wait()
	for _, b := range jobs {
		r.Assert(b.ID, qt.Equals, first.ID)
	}
	r.finish(first, "resent", n)
}

// TestBatchOwnerFrozen freezes the owner past its lease, lets a successor finish
// and thaws the owner: its late results are not seen.
func TestBatchOwnerFrozen(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 600
	b := r.submit("frozen", n, 24)
	r.eventually(jobLimit, "progress", func() bool { return r.progress(b) >= n/10 })
	owner := r.ownerOf(b)
	owner.Pause()
	r.finish(b, "frozen", n)
	owner.Resume()
	time.Sleep(3 * time.Second)
	done, err := r.caller.Show(r.ctx, r.keys["archive"], b.ID)
	r.Assert(err, qt.IsNil)
	r.checkOutput(done, "frozen", n)
}

// TestBatchPlatformDown takes the platform away in mid-job for longer than a lease
// and loses answers of writes before and after.
func TestBatchPlatformDown(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 800
	r.Assert(r.SetFaults(platform.Faults{LoseAnswers: 5}), qt.IsNil)
	b := r.submit("outage", n, 24)
	r.eventually(jobLimit, "progress", func() bool { return r.progress(b) >= n/10 })
	r.Assert(r.SetFaults(platform.Faults{Down: true}), qt.IsNil)
	time.Sleep(6 * time.Second)
	r.Assert(r.SetFaults(platform.Faults{LoseAnswers: 20}), qt.IsNil)
	r.finish(b, "outage", n)
}

// TestBatchAllDaemonsReplaced reads results back after every daemon has been
// killed and started again.
func TestBatchAllDaemonsReplaced(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	const n = 100
	b := r.submit("kept", n, 8)
	r.finish(b, "kept", n)
	for _, h := range r.Hosts {
		h.Kill()
	}
	for _, h := range r.Hosts {
		r.Assert(r.StartHost(h), qt.IsNil)
	}
	r.Assert(r.WaitReady(), qt.IsNil)
	done, err := r.caller.Show(r.ctx, r.keys["archive"], b.ID)
	r.Assert(err, qt.IsNil)
	r.checkOutput(done, "kept", n)
}

// TestBatchCancelled cancels a job in mid-run, also with its owner cut off from its
// peers, and checks that no item starts after the bound and that the end state stays.
func TestBatchCancelled(t *testing.T) {
	t.Parallel()
	const bound = 5 * time.Second
	r := newRig(t, relays)
	for _, cut := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "cut"}[cut]
		b := r.submit(name, 3000, 24)
		r.eventually(jobLimit, "progress", func() bool { return r.progress(b) > 50 })
		owner := r.ownerOf(b)
		if cut {
			r.CutPeers(owner, true)
		}
		_, err := r.caller.Cancel(r.ctx, r.keys["archive"], b.ID)
		r.Assert(err, qt.IsNil)
		time.Sleep(bound)
		before := r.itemsRun(b)
		time.Sleep(2 * time.Second)
		r.Assert(r.itemsRun(b), qt.Equals, before, qt.Commentf("items started later than %s after the cancel", bound))
		r.CutPeers(owner, false)
		r.eventually(jobLimit, "cancelled", func() bool {
			now, err := r.caller.Show(r.ctx, r.keys["archive"], b.ID)
			return err == nil && now.Status == "cancelled"
		})
		t.Logf("%s: %d items were started before the end", name, before)
	}
}

// itemsRun counts the runs of a job's items at all engines.
func (r *rig) itemsRun(b load.Batch) (n int) {
	ran, _ := r.ledgers()
	for id, times := range ran {
		if len(id) > len("item-"+b.ID) && id[:len("item-"+b.ID)] == "item-"+b.ID {
			n += times
		}
	}
	return n
}
