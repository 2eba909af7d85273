package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/host"
	"verbenaledge.example/verbenad/internal/owners"
)

// TestFleetHandsOverItems guards against items that run again from the start when their owner stops: the new owner must
// resume each after its last event.
func TestFleetHandsOverItems(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.setEventPause(250 * time.Millisecond)
	f.submitUntilAccepted("job", 6)
	f.eventually("all items run", func() bool { return f.allStarted("job", 6) })
	time.Sleep(600 * time.Millisecond) // at least two events of each
	owner := f.jobOwner()
	f.stopHosts[slices.Index(f.hostNames, owner)]()
	f.awaitResults("job", 6)
	c.Assert(f.jobOwner(), qt.Not(qt.Equals), owner)
	for n := range 6 {
		fromStart, resumed := f.countRuns(fmt.Sprintf("job-%d", n))
		c.Check(fromStart, qt.Equals, 1, qt.Commentf("item %d", n))
		c.Check(resumed >= 1, qt.IsTrue, qt.Commentf("item %d", n))
	}
}

// TestFleetHandsOverItemsAfterStoreOutage guards against items that run again from the start because their owner stops while the
// store refuses calls, though it could hand them over within its grace period.
func TestFleetHandsOverItemsAfterStoreOutage(t *testing.T) {
	t.Parallel()
	const (
		grace  = 8 * time.Second
		outage = 3 * time.Second
		items  = 6
	)
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.grace = grace
	first := len(f.hostNames)
	f.startHost("storage-graceful-0", host.RunStorage)
	f.startHost("storage-graceful-1", host.RunStorage)
	for n := range first {
		if strings.HasPrefix(f.hostNames[n], "storage") {
			f.stopHosts[n]()
			f.eventually("its units are handed over", func() bool { return !f.ownsUnits(f.hostNames[n]) })
		}
	}
	f.setEventPause(250 * time.Millisecond)
	f.submitUntilAccepted("job", items)
	f.eventually("all items run", func() bool { return f.allStarted("job", items) })
	time.Sleep(600 * time.Millisecond) // at least two events of each
	owner := f.jobOwner()
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	f.stopHosts[slices.Index(f.hostNames, owner)]()
	time.Sleep(outage)
	f.store.SetFault(nil)
	f.awaitResults("job", items)
	c.Assert(f.jobOwner(), qt.Not(qt.Equals), owner)
	for n := range items {
		fromStart, _ := f.countRuns(fmt.Sprintf("job-%d", n))
		c.Check(fromStart, qt.Equals, 1, qt.Commentf("item %d", n))
	}
}

// TestFleetStopDuringOutageEndsInTime guards against a storage host that waits for others beyond its grace period.
func TestFleetStopDuringOutageEndsInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1000)
	f.grace = 4 * time.Second
	var stopped time.Time
	t.Cleanup(func() {
		took := time.Since(stopped)
		qt.Check(t, took < f.grace, qt.IsTrue, qt.Commentf("the stop took %s", took))
	})
	former := slices.Clone(f.hostNames)
	f.startHost("storage-graceful", host.RunStorage)
	t.Cleanup(func() { stopped = time.Now() }) // the host is stopped next
	for n, name := range former {
		if strings.HasPrefix(name, "storage") {
			f.stopHosts[n]()
			f.eventually("its units are handed over", func() bool { return !f.ownsUnits(name) })
		}
	}
	f.eventually("the new host owns units", func() bool { return f.ownsUnits("storage-graceful") })
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
}

// TestFleetAnswersCallsDuringHandOver guards against 504 for a submission, or for a job's end, whose outcome is
// unknown because its owner hands its units over while the store executes it.
func TestFleetAnswersCallsDuringHandOver(t *testing.T) {
	t.Parallel()
	for _, written := range []struct {
		verb string
		call func(f *fleet) result
		want int
	}{
		{"create", func(f *fleet) result { return f.submitJob("job", 2) }, http.StatusAccepted},
		{"status", func(f *fleet) result { return f.call("DELETE", standin.JobPath("ended", 0), workspaceKey, nil, nil) }, http.StatusOK},
	} {
		t.Run(written.verb, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 1000)
			f.submitUntilAccepted("ended", 2)
			owner := f.jobOwner()
			var handedOver atomic.Bool
			begun := make(chan struct{})
			var once sync.Once
			f.store.SetFault(func(op memory.Op) memory.Fault {
				if op.Verb == "replace" && op.Kind == owners.KindOwners {
					handedOver.Store(true)
				}
				if op.Verb != written.verb || op.Name != "job" && op.Name != "ended" || handedOver.Load() {
					return memory.None
				}
				once.Do(func() { close(begun) })
				return memory.LoseCall // sent again until the units are handed over
			})
			answered := make(chan result, 1)
			go func() { answered <- written.call(f) }()
			<-begun
			f.stopHosts[slices.Index(f.hostNames, owner)]()
			r := <-answered
			c.Assert(r.err, qt.IsNil)
			c.Assert(handedOver.Load(), qt.IsTrue)
			c.Assert(r.status, qt.Equals, written.want, qt.Commentf("%s", r.body))
			f.store.SetFault(nil)
			if written.verb == "create" {
				f.awaitResults("job", 2)
			}
		})
	}
}

func (f *fleet) allStarted(job string, items int) bool {
	for n := range items {
		if f.runCount(fmt.Sprintf("%s-%d", job, n)) == 0 {
			return false
		}
	}
	return true
}

// countRuns counts the runs of an item from its start, and those that were resumed after an event.
func (f *fleet) countRuns(id string) (fromStart, resumed int) {
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			switch {
			case r.ID != id:
			case r.ResumedAfter == 0:
				fromStart++
			default:
				resumed++
			}
		}
	}
	return fromStart, resumed
}

// jobOwner returns the host that owns the jobs of workspace w.
func (f *fleet) jobOwner() string {
	return string(f.currentMap().Units[ownership.Unit(bulk.ShardOf("w").Name())].Host)
}

// ownsUnits reports whether the map names a host.
func (f *fleet) ownsUnits(name string) bool { return f.currentMap().Names(ids.HostID(name)) }

// currentMap returns the owner map from the store.
func (f *fleet) currentMap() (m ownership.Map) {
	o, err := f.store.Get(f.t.Context(), owners.KindOwners, "map")
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, json.Unmarshal(o.Spec, &m), qt.IsNil)
	return m
}
