package cmd

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// TestFleetChangesCutNoStream checks that streams are completed although a configuration moves their routes to another service and
// removes their key, and their servers leave the list: at a host that stops, at one that goes on, and at one whose streams go over
// other hosts.
func TestFleetChangesCutNoStream(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t, 1000)
	fronts := f.callerAddresses
	stop := f.startGraceful()
	f.callerAddresses = append(fronts, f.callerAddresses...)
	f.networks["front-1"].set(reset) // each request that it serves from now on goes over another host
	f.eventually("the host that is cut off serves", func() bool { return f.callAt(1) })
	f.setEventPause(150 * time.Millisecond)
	var streams sync.WaitGroup
	for _, address := range f.callerAddresses {
		for _, path := range []string{"/stream/x", "/resume/x"} {
			streams.Go(func() {
				r := f.streamOnNewConnection(c, address, path, address+path)
				c.Check(r.err, qt.IsNil, qt.Commentf("%s: status %d, %q", r.id, r.status, r.body))
				c.Check(r.body, qt.Equals, streamBody(r.id))
			})
		}
	}
	f.eventually("all run", func() bool { return f.runningRequests("llm") == 6 })
	stop()
	moved := standin.Configuration(5, map[string]string{"new": "w"}, 1000)
	standin.SplitRoute(moved, "stream", "app")
	standin.SplitRoute(moved, "resume", "app")
	c.Assert(standin.Configure(f.store, moved), qt.IsNil)
	for id, s := range f.servers {
		if s.Service == "llm" {
			c.Assert(standin.Deregister(f.store, id), qt.IsNil)
		}
	}
	f.eventually("the old key is refused", func() bool {
		return f.callHost(0, "GET", "/app/x", nil).status == http.StatusUnauthorized && f.callHost(1, "GET", "/app/x", nil).status == http.StatusUnauthorized
	})
	c.Check(f.runningRequests("llm"), qt.Equals, 6) // the change came while they ran
	streams.Wait()
}
