package slots

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/objectfeed"
)

// TestSlotOnServerThatLeftIsReturned guards against requests to servers that leave while the dispatcher has lost the store: its list
// shows them as ready, that of the host that sends doesn't.
func TestSlotOnServerThatLeftIsReturned(t *testing.T) {
	c := qt.New(t)
	d := startDispatcher(t)
	list := func(draining bool, names ...ids.BackendID) map[ids.BackendID]directory.Server {
		all := make(map[ids.BackendID]directory.Server)
		for _, id := range names {
			all[id] = directory.Server{ID: id, Service: "llm", Slots: 2, Incarnation: 5, Draining: draining && id == "a"}
		}
		return all
	}
	d.dispatcher.SetServers(list(false, "a", "b", "c"))
	client := NewClient("h", "z", "", clock.System{}, objectfeed.NewFeed(clock.System{}), func() string { return d.address }, noAddress)
	go client.Run(t.Context())
	client.SetServers(list(false, "a", "b", "c"))
	waitConnected(t, client)
	client.SetServers(list(true, "a", "c"))
	for range 2 {
		slot, err := client.Acquire(context.Background(), slotRequest(dispatch.Online))
		c.Assert(err, qt.IsNil)
		c.Assert(slot.Server.ID, qt.Equals, ids.BackendID("c"))
		client.Release(slot, dispatch.Outcome{Result: dispatch.Served})
		time.Sleep(100 * time.Millisecond) // the slots that were returned are granted again
	}
}

// TestListedServersOfLaterStart guards against a server that has started again and is taken for one that left.
func TestListedServersOfLaterStart(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	l := newListedServers()
	former, later := directory.Server{ID: "a", Incarnation: 5}, directory.Server{ID: "a", Incarnation: 9}
	l.set(now, map[ids.BackendID]directory.Server{"a": former})
	c.Assert(l.hasLeft(former), qt.IsFalse)
	l.set(now, nil)
	c.Assert([]bool{l.hasLeft(former), l.hasLeft(later)}, qt.DeepEquals, []bool{true, false})
	l.set(now, map[ids.BackendID]directory.Server{"a": later})
	c.Assert(l.hasLeft(later), qt.IsFalse)
	l.set(now.Add(time.Second), nil)
	l.set(now.Add(time.Second+departedMemory+1), nil)
	c.Assert(l.hasLeft(later), qt.IsFalse)
}
