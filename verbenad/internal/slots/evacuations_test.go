package slots

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

// TestSlotInEvacuatedZoneIsReturned has a dispatcher grant slots in a zone that only the client knows to be evacuated. The client
// returns them with all servers of that zone excluded, and is refused if there are no others.
func TestSlotInEvacuatedZoneIsReturned(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	servers := map[ids.BackendID]directory.Server{
		"a": {ID: "a", Service: "llm", Slots: 2, Zone: "z1"}, "b": {ID: "b", Service: "llm", Slots: 2, Zone: "z1"},
		"c": {ID: "c", Service: "llm", Slots: 2, Zone: "z2"},
	}
	d.dispatcher.SetServers(servers)
	var all atomic.Bool
	client := NewClient("h", "z1", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return d.address }, noAddress,
		WithEvacuations(func(zone ids.ZoneID) bool { return zone == "z1" || all.Load() }))
	go client.Run(t.Context())
	client.SetServers(servers)
	waitConnected(t, client)
	slot, err := client.Acquire(context.Background(), slotRequest(dispatch.Online))
	c.Assert(err, qt.IsNil)
	c.Assert(slot.Server.ID, qt.Equals, ids.BackendID("c"))
	client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
	all.Store(true)
	_, err = client.Acquire(context.Background(), slotRequest(dispatch.Online))
	r, ok := AsRefusedError(err)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Reason, qt.Equals, dispatch.NoServer)
}
