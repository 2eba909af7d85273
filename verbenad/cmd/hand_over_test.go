package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
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

// TestFleetAnswersCallsDuringHandOver guards against callers that are told that the outcome of a submission, or of a job's end, is
// unknown because its owner hands its units over while the store executes it.
func TestFleetAnswersCallsDuringHandOver(t *testing.T) {
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
	o, err := f.store.Get(f.t.Context(), owners.KindOwners, "map")
	qt.Assert(f.t, err, qt.IsNil)
	var m ownership.Map
	qt.Assert(f.t, json.Unmarshal(o.Spec, &m), qt.IsNil)
	return string(m.Units[ownership.Unit(bulk.ShardOf("w").Name())].Host)
}
