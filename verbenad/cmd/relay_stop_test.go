package cmd

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenad/internal/host"
)

// TestFleetStopOfRelaysResumesStreams checks what becomes of streams that a host, which stops at the same time, receives over others
// with a shorter grace period: those that may be resumed are completed, the others don't look complete.
func TestFleetStopOfRelaysResumesStreams(t *testing.T) {
	const eachKind = 4
	t.Parallel() // it mostly waits
	c := qt.New(t)
	f := newFleet(t, 1000)
	relays := f.stopHosts[len(f.stopHosts)-2:]
	stop := f.startGraceful()
	address := f.callerAddresses[0]
	f.networks["front-graceful"].set(reset) // each request that it serves from now on goes over another host
	f.eventually("the host that is cut off serves", func() bool { return f.callAt(0) })
	f.setEventPause(300 * time.Millisecond) // a stream takes 3.6 s
	var callers sync.WaitGroup
	for n := range eachKind {
		callers.Go(func() {
			r := f.streamOnNewConnection(c, address, "/resume/x", fmt.Sprintf("resumable-%d", n))
			c.Check(r.err, qt.IsNil)
			c.Check(r.body, qt.Equals, streamBody(r.id))
		})
		callers.Go(func() {
			r := f.streamOnNewConnection(c, address, "/stream/x", fmt.Sprintf("other-%d", n))
			c.Check(r.err, qt.IsNotNil)
			c.Check(f.runCount(r.id), qt.Equals, 1)
		})
	}
	f.eventually("all run", func() bool { return f.runningRequests("llm") == 2*eachKind })
	f.startHost("front-late", host.RunFront)
	f.eventually("another relay serves", func() bool { return f.callHost(1, "GET", "/app/x", nil).status == http.StatusOK })
	time.Sleep(noticeSpreadTime) // until the hosts know the relay
	for _, stopRelay := range relays {
		stopRelay()
	}
	stop()
	callers.Wait()
	for n := range eachKind {
		c.Check(f.runCount(fmt.Sprintf("resumable-%d", n)), qt.Equals, 2)
	}
}

// streamOnNewConnection sends a request for a stream to an entry host.
func (f *fleet) streamOnNewConnection(c *qt.C, address, path, id string) result {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }() // its response has ended
	r, _ := lateRequest{id: id, method: http.MethodPost, path: path, header: streamHeaders, conn: conn}.send(c)
	c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %v", id, r.err))
	return r
}
