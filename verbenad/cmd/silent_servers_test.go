package cmd

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

const (
	// soundSilence is longer than the time after which a host asks for another server, and shorter than the routes' timeouts.
	soundSilence = 1500 * time.Millisecond
	// silenceRounds is how often all servers fall silent. What is counted against requests in one shows in the next.
	silenceRounds = 2
)

// silence makes all servers silent for a while.
func (f *fleet) silence(d time.Duration) {
	for _, s := range f.servers {
		s.SetSilent(true)
		time.AfterFunc(d, func() { s.SetSilent(false) })
	}
}

// TestFleetSilentServersEndNoAnswer guards against answers that end because sound servers were silent for a second or so: no
// other server has a slot, and the same request of several callers must not count as one that crashes servers.
func TestFleetSilentServersEndNoAnswer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	for _, s := range f.servers {
		s.Slots = 4
	}
	f.setEventPause(100 * time.Millisecond)
	for range silenceRounds {
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				r := f.call("POST", "/app/x", workspaceKey, nil, []byte("the same question"))
				c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.id))
			})
		}
		for range 6 {
			callers.Go(func() {
				r := f.call("POST", "/resume/x", workspaceKey, streamHeaders, []byte("the same question"))
				c.Check(r.err, qt.IsNil)
				c.Check(r.body, qt.Equals, streamBody(r.id))
			})
		}
		f.silence(soundSilence)
		callers.Wait()
	}
}

// TestFleetHungServerLosesItsRequests guards against requests that wait for a server that never answers, although another
// one has a slot.
func TestFleetHungServerLosesItsRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.injectFault("app", 1, standin.NoAnswer)
	begin := time.Now()
	r := f.call("POST", "/app/x", workspaceKey, nil, nil)
	c.Assert(r.status, qt.Equals, http.StatusOK)
	c.Assert(f.runCount(r.id), qt.Equals, 2)
	c.Assert(time.Since(begin) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
}
