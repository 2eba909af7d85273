package cmd

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/owners"
)

// TestFleetCarriesItemsOn: the items of an owner that stops go on elsewhere after their last event; none
// begins anew.
func TestFleetCarriesItemsOn(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.pause(250 * time.Millisecond)
	f.eventually("the job is accepted", func() bool { return f.submit("job", 6).status == 202 })
	f.eventually("all items run", func() bool { return f.begun("job", 6) })
	time.Sleep(600 * time.Millisecond) // two events and more of each
	owner := f.owner()
	f.stop[slices.Index(f.names, owner)]()
	f.whole("job", 6)
	c.Assert(f.owner(), qt.Not(qt.Equals), owner)
	for n := range 6 {
		anew, on := f.runs(fmt.Sprintf("job-%d", n))
		c.Check(anew, qt.Equals, 1, qt.Commentf("item %d", n))
		c.Check(on >= 1, qt.IsTrue, qt.Commentf("item %d", n))
	}
}

func (f *fleet) begun(job string, items int) bool {
	for n := range items {
		if f.ran(fmt.Sprintf("%s-%d", job, n)) == 0 {
			return false
		}
	}
	return true
}

// runs counts the runs of an item from its beginning, and those that went on.
func (f *fleet) runs(id string) (anew, on int) {
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			switch {
			case r.ID != id:
			case r.ResumedAfter == 0:
				anew++
			default:
				on++
			}
		}
	}
	return anew, on
}

// owner is the host that owns the jobs of the workspace.
func (f *fleet) owner() string {
	o, err := f.store.Get(f.t.Context(), owners.KindOwners, "map")
	qt.Assert(f.t, err, qt.IsNil)
	var m ownership.Map
	qt.Assert(f.t, json.Unmarshal(o.Spec, &m), qt.IsNil)
	return string(m.Units[ownership.Unit(bulk.ShardOf("w").Name())].Host)
}
