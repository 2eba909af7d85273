package cmd

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenad/internal/owners"
)

// TestFleetLosesDispatcherDuringOutage guards against refusals when the dispatcher is lost while the store can't be
// reached, so that no other can be appointed. A workspace that sends two thirds of its rate to one entry host must be
// served by the standby.
func TestFleetLosesDispatcherDuringOutage(t *testing.T) {
	c := qt.New(t)
	const rate, perSecond, seconds = 30, 20, 3
	f := newFleet(t, rate)
	f.callerAddresses = f.callerAddresses[:1]
	m := f.ownerMap()
	dispatcher := m.Units[ownership.Dispatch].Host
	c.Assert(m.Standby.Host, qt.Not(qt.Equals), dispatcher)
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	f.stopHosts[slices.Index(f.hostNames, string(dispatcher))]()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := range perSecond * seconds {
		<-ticker.C
		r := f.call("GET", "/app/x", "key-of-v", nil, nil)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("request %d: %s", n, r.body))
	}
}

// ownerMap returns the owner map from the store, once the dispatcher has a standby.
func (f *fleet) ownerMap() (m ownership.Map) {
	f.eventually("the dispatcher has a standby", func() bool {
		o, err := f.store.Get(f.t.Context(), owners.KindOwners, "map")
		return err == nil && json.Unmarshal(o.Spec, &m) == nil && m.Standby.Host != ""
	})
	return m
}
