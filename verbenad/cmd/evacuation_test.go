package cmd

import (
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
)

// evacuationTimeout is that of the deployments that have evacuations.
const evacuationTimeout = 5 * time.Second

// newEvacuableFleet starts a fleet in which one server of each service is in zone y, and the others are in zone z.
func newEvacuableFleet(t *testing.T) *fleet {
	f := newFleetWithEvacuations(t, 10_000, evacuationTimeout, "", "", "")
	for _, id := range []string{"llm-0", "app-0"} {
		qt.Assert(t, standin.Register(f.store, f.servers[id], f.serverAddresses[id], "y", "ready"), qt.IsNil)
	}
	return f
}

func (f *fleet) evacuate(zone string) {
	_, err := f.store.Create(f.t.Context(), "evacuations", zone, map[string]any{})
	qt.Assert(f.t, err, qt.IsNil)
}

// checkZoneIsEmpty checks that the servers in zone y get nothing, whatever is sent, and that the others serve.
func (f *fleet) checkZoneIsEmpty(c *qt.C) {
	before := f.servers["llm-0"].Received() + f.servers["app-0"].Received()
	for range 3 {
		f.callMany("llm")
		f.callMany("app")
	}
	c.Assert(f.callService("llm").status, qt.Equals, http.StatusOK)
	c.Assert(f.callService("app").status, qt.Equals, http.StatusOK)
	c.Assert(f.servers["llm-0"].Received()+f.servers["app-0"].Received(), qt.Equals, before)
}

// TestFleetEvacuatesZone guards against requests and items that reach an evacuated zone, also while the store is away
// afterwards, and against a zone that stays unused when its evacuation has ended.
func TestFleetEvacuatesZone(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newEvacuableFleet(t)
	f.setEventPause(20 * time.Millisecond)
	c.Assert(f.submitJob("job-of-many", 40).status, qt.Equals, http.StatusAccepted)
	f.eventually("items run in the zone", func() bool { return f.servers["llm-0"].Received() > 0 })
	f.evacuate("y")
	time.Sleep(evacuationTimeout / 2)
	f.checkZoneIsEmpty(c)
	f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
	f.checkZoneIsEmpty(c)
	f.store.SetFault(nil)
	c.Assert(f.awaitResults("job-of-many", 40), qt.HasLen, 40)
	qt.Assert(t, f.store.Delete(t.Context(), "evacuations", "y", 0), qt.IsNil)
	before := f.servers["llm-0"].Received()
	f.eventually("the zone is used again", func() bool {
		f.callMany("llm")
		return f.servers["llm-0"].Received() > before
	})
}

// TestFleetEvacuatesZoneWithoutDispatcher guards against hosts that place requests in an evacuated zone by themselves: all storage
// hosts stop in the moment of the evacuation.
func TestFleetEvacuatesZoneWithoutDispatcher(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newEvacuableFleet(t)
	f.evacuate("y")
	for n := range 3 {
		f.stopHosts[slices.Index(f.hostNames, "storage-"+string(rune('0'+n)))]()
	}
	time.Sleep(evacuationTimeout)
	f.checkZoneIsEmpty(c)
}
