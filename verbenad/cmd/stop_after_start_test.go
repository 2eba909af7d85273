package cmd

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenad/internal/host"
)

// startDelays are when hosts get their stop signal after their start: before they listen, before they have a configuration, before
// they are ready, and as they begin to serve.
var startDelays = []time.Duration{0, 2 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// TestFleetStopAfterStartAnswersRequests checks that hosts which are stopped as they start answer each request on a connection that
// they have accepted, with and without a configuration, and end in order.
func TestFleetStopAfterStartAnswersRequests(t *testing.T) {
	t.Parallel() // it mostly waits
	c := qt.New(t)
	f := newFleet(t, 100_000)
	f.grace = 2 * time.Second
	for _, configured := range []bool{true, false} {
		if !configured {
			f.store.SetFault(func(memory.Op) memory.Fault { return memory.Refuse })
			f.peerAddresses = nil // the hosts have no seeds
		}
		var callers sync.WaitGroup
		for n, delay := range startDelays {
			f.startHost(fmt.Sprintf("front-%v-%d", configured, n), host.RunFront)
			time.AfterFunc(delay, f.stopHosts[len(f.stopHosts)-1])
			address := f.callerAddresses[len(f.callerAddresses)-1]
			for m, path := range []string{"/app/x", "/stream/x", "/resume/x"} {
				callers.Go(func() {
					f.checkAnsweredWhileStarting(c, address, path, fmt.Sprintf("starting-%v-%d-%d", configured, n, m), configured)
				})
			}
		}
		callers.Wait()
	}
}

// checkAnsweredWhileStarting sends a request to a host as soon as it listens.
func (f *fleet) checkAnsweredWhileStarting(c *qt.C, address, path, id string, configured bool) {
	var conn net.Conn
	f.eventually("the host listens", func() (accepted bool) {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	})
	defer func() { _ = conn.Close() }() // its response has ended
	r, _ := lateRequest{id: id, method: http.MethodPost, path: path, header: streamHeaders, conn: conn}.send(c)
	c.Check(r.err, qt.IsNil, qt.Commentf("%s: status %d", id, r.status))
	switch r.status {
	case http.StatusOK:
		c.Check(configured, qt.IsTrue)
		c.Check(f.runCount(id), qt.Equals, 1)
	case http.StatusServiceUnavailable:
		c.Check(f.runCount(id), qt.Equals, 0)
	default:
		c.Errorf("%s: status %d", id, r.status)
	}
}
