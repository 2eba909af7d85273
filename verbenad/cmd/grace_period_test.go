package cmd

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenad/internal/host"
)

// arrivalPause is shorter than a listener that closes waits for a further connection.
const arrivalPause = 5 * time.Millisecond

// TestFleetStopAnswersWithinGracePeriod guards against a stopping host that accepts connections beyond its grace period, and is killed
// before it has answered the requests in progress.
func TestFleetStopAnswersWithinGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = time.Second
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startWithGrace(grace)
	f.injectFault("app", 1, standin.NoAnswer)
	answered := make(chan result, 1)
	go func() { answered <- f.call("POST", "/once/x", workspaceKey, nil, []byte("q")) }()
	f.eventually("the request runs", func() bool { return f.runningRequests("app") == 1 })
	stopped := time.Now()
	stop()
	endArrivals := f.connectMeanwhile()
	r := <-answered
	took := time.Since(stopped)
	endArrivals()
	c.Check(r.err, qt.IsNil)
	c.Check(r.status, qt.Equals, http.StatusGatewayTimeout)
	c.Check(took < grace, qt.IsTrue, qt.Commentf("answered %s after the stop", took))
}

// startWithGrace starts another entry host with a grace period; further requests go only to this one.
func (f *fleet) startWithGrace(grace time.Duration) (stop func()) {
	f.grace = grace
	f.startHost("front-graceful", host.RunFront)
	f.callerAddresses = f.callerAddresses[len(f.callerAddresses)-1:]
	f.eventually("the host serves", func() bool { return f.call("GET", "/app/x", workspaceKey, nil, nil).status == http.StatusOK })
	return f.stopHosts[len(f.stopHosts)-1]
}

// connectMeanwhile connects to the entry host again and again, until end is called.
func (f *fleet) connectMeanwhile() (end func()) {
	var ended atomic.Bool
	var callers sync.WaitGroup
	callers.Go(func() {
		for ; !ended.Load(); time.Sleep(arrivalPause) {
			if conn, err := net.Dial("tcp", f.callerAddresses[0]); err == nil {
				_ = conn.Close() // it carries no request
			}
		}
	})
	return func() {
		ended.Store(true)
		callers.Wait()
	}
}
