package host

import (
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// appliedServers collects the lists that evacuations apply.
type appliedServers struct {
	lists []map[ids.BackendID]directory.Server
}

func newTestEvacuations(enabled bool) (*evacuations, *appliedServers) {
	applied := &appliedServers{}
	e := newEvacuations(clock.System{}, enabled, func(o objects.Object) ids.ZoneID { return ids.ZoneID(o.Name) })
	e.apply = func(s map[ids.BackendID]directory.Server) { applied.lists = append(applied.lists, s) }
	return e, applied
}

var listedInTwoZones = map[ids.BackendID]directory.Server{"a": {ID: "a", Zone: "z1"}, "b": {ID: "b", Zone: "z2"}}

func evacuationOf(zones ...string) map[string]objects.Object {
	all := make(map[string]objects.Object)
	for _, z := range zones {
		all[z] = objects.Object{Name: z, Revision: 3}
	}
	return all
}

// TestServersWaitForEvacuations guards against a host that starts and sends requests to a zone that is evacuated already.
func TestServersWaitForEvacuations(t *testing.T) {
	c := qt.New(t)
	e, applied := newTestEvacuations(true)
	e.setServers(listedInTwoZones)
	c.Assert(applied.lists, qt.HasLen, 0)
	e.changed(evacuationOf("z1"), 3)
	c.Assert(applied.lists, qt.HasLen, 1)
	c.Assert(applied.lists[0]["a"].Evacuated, qt.IsTrue)
	c.Assert(applied.lists[0]["b"].Evacuated, qt.IsFalse)
	c.Assert(e.IsEvacuated("z1"), qt.IsTrue)
	e.changed(evacuationOf(), 4)
	c.Assert(applied.lists, qt.HasLen, 2)
	c.Assert(applied.lists[1]["a"].Evacuated, qt.IsFalse)
}

// TestServersAreUsedWithoutEvacuations guards against a host that doesn't serve while the store can't be read.
func TestServersAreUsedWithoutEvacuations(t *testing.T) {
	c := qt.New(t)
	e, applied := newTestEvacuations(true)
	e.setServers(listedInTwoZones)
	e.endWait()
	c.Assert(applied.lists, qt.DeepEquals, []map[ids.BackendID]directory.Server{listedInTwoZones})
	e.changed(evacuationOf("z2"), 3)
	c.Assert(applied.lists[1]["b"].Evacuated, qt.IsTrue)
	e.endWait()
	c.Assert(applied.lists, qt.HasLen, 2)
}

// TestServersWithoutEvacuationSupport guards against a delay on deployments that have no evacuations.
func TestServersWithoutEvacuationSupport(t *testing.T) {
	c := qt.New(t)
	e, applied := newTestEvacuations(false)
	e.setServers(listedInTwoZones)
	c.Assert(applied.lists, qt.HasLen, 1)
}

// TestRelayRefusesEvacuatedServers guards against requests that reach an evacuated zone over another host's connections.
func TestRelayRefusesEvacuatedServers(t *testing.T) {
	c := qt.New(t)
	e, applied := newTestEvacuations(true)
	e.changed(evacuationOf("z1"), 3)
	e.setServers(listedInTwoZones)
	var listed atomic.Pointer[map[ids.BackendID]directory.Server]
	listed.Store(&applied.lists[0])
	r := &relayedServers{listed: &listed}
	_, ok := r.Listed("a")
	c.Assert(ok, qt.IsFalse)
	_, ok = r.Listed("b")
	c.Assert(ok, qt.IsTrue)
}
