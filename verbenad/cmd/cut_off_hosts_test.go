package cmd

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

const (
	// cutOffNotice is how long a host may take to find another way to servers.
	cutOffNotice = 3 * time.Second
	// cutOffCallerPatience is how long a caller waits for an answer.
	cutOffCallerPatience = time.Second
	// cutOffCallPause is the time between the calls of callers to a host that is cut off.
	cutOffCallPause = 20 * time.Millisecond
)

// TestFleetServesCallersOfCutOffHosts guards against callers that are refused, or wait in vain, at a host that has lost all
// backend servers while other hosts reach them.
func TestFleetServesCallersOfCutOffHosts(t *testing.T) {
	t.Parallel() // it mostly waits, as the others of this file do
	for _, mode := range []cutMode{silent, reset, refused} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(t, 100_000)
			f.client = &http.Client{Timeout: cutOffCallerPatience}
			for range 20 {
				f.callAt(0)
			}
			f.networks["front-0"].set(mode)
			stopCalls := f.callMeanwhile(0)
			time.Sleep(cutOffNotice)
			stopCalls()
			const calls = 45
			served := 0
			for range calls {
				if f.callAt(0) {
					served++
				}
			}
			c.Check(served*3 >= calls*2, qt.IsTrue, qt.Commentf("%d of %d served while cut off", served, calls))
			f.networks["front-0"].set(connected)
			f.eventually("the host is served directly again", func() bool { return f.callAt(0) })
		})
	}
}

// callAt sends one request that may be repeated and one stream that may not to an entry host. It reports whether both were
// answered whole.
func (f *fleet) callAt(n int) bool {
	plain := f.callHost(n, "GET", "/app/x", nil)
	stream := f.callHost(n, "POST", "/stream/x", streamHeaders)
	return plain.status == http.StatusOK && stream.status == http.StatusOK && stream.err == nil && stream.body == streamBody(stream.id)
}

// callHost sends a request to one of the entry hosts.
func (f *fleet) callHost(n int, method, path string, header map[string]string) result {
	f.requests.Store(f.requests.Load() + int64(len(f.callerAddresses)-1+n) - f.requests.Load()%int64(len(f.callerAddresses)))
	return f.call(method, path, workspaceKey, header, nil)
}

// callMeanwhile calls an entry host until stop is called, which waits for the last call.
func (f *fleet) callMeanwhile(n int) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(cutOffCallPause):
				f.callAt(n)
			}
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// TestFleetItemsOutliveCutOffOwners guards against items that wait until the cut ends if their owners have lost all backend
// servers.
func TestFleetItemsOutliveCutOffOwners(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 100_000)
	f.submitUntilAccepted("job-before", 4)
	f.awaitResults("job-before", 4)
	for _, n := range []string{"storage-0", "storage-1", "storage-2"} {
		f.networks[n].set(silent)
	}
	f.submitUntilAccepted("job-cut", 12)
	f.awaitResults("job-cut", 12)
}

// TestFleetRefusesCallersIfAllHostsAreCutOff checks that callers are refused soon, with a status that says that nothing ran,
// and served again once the cut has ended.
func TestFleetRefusesCallersIfAllHostsAreCutOff(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t, 100_000)
	for _, n := range f.networks {
		n.set(refused)
	}
	time.Sleep(cutOffNotice)
	start := time.Now()
	r := f.call("POST", "/stream/x", workspaceKey, streamHeaders, nil)
	if r.status != http.StatusOK { // an open connection may have been left
		c.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(f.runCount(r.id), qt.Equals, 0)
		c.Check(time.Since(start) < 2*time.Second, qt.IsTrue)
	}
	for _, n := range f.networks {
		n.set(connected)
	}
	f.eventually("callers are served again", func() bool { return f.callAt(0) && f.callAt(1) })
	c.Check(f.call("GET", standin.JobPath("none", 0), workspaceKey, nil, nil).status, qt.Equals, http.StatusNotFound)
}
