package cmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// timeOf returns when the given time is left until the host that is stopping now ends its requests.
func (f *fleet) timeOf(left time.Duration) time.Time {
	const margin = 400 * time.Millisecond
	return time.Now().Add(f.grace - margin - left)
}

// resumedAfter returns the headers of a request for a stream of which the caller has events.
func resumedAfter(event string) map[string]string {
	h := standin.StreamHeaders()
	h[standin.HeaderLastEvent] = event
	return h
}

// TestFleetStopEstimatesStreamsByPartsOfThem guards against a stopping host that takes the time of resumed streams, or of responses
// to HEAD, for that of whole ones, begins a stream and cuts it.
func TestFleetStopEstimatesStreamsByPartsOfThem(t *testing.T) {
	t.Parallel()
	const earlier = 20
	for name, tc := range map[string]struct {
		path, method string
		header       map[string]string
	}{
		"resumed streams": {"/resume/x", http.MethodPost, resumedAfter("11")},
		"HEAD":            {"/stream/x", http.MethodHead, streamHeaders},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFleet(t, 1000)
			stop := f.startGraceful()
			for range earlier {
				r := f.call(tc.method, tc.path, workspaceKey, tc.header, nil)
				c.Assert(r.err, qt.IsNil)
				c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			}
			f.setEventPause(250 * time.Millisecond) // a stream takes 3 s
			streams := f.openLateStreams(c, tc.path)
			f.keepBusy(c)
			at := f.timeOf(2 * time.Second)
			stop()
			time.Sleep(time.Until(at))
			r, _ := streams[0].send(c)
			c.Assert(r.err, qt.IsNil, qt.Commentf("status %d, %q", r.status, r.body))
			c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
		})
	}
}

// TestFleetStopCutsLongResponse guards against a stopping host that begins a plain request whose response is forwarded as it arrives,
// and cuts it.
func TestFleetStopCutsLongResponse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t, 1000)
	for _, s := range f.servers {
		if s.Service != "app" {
			continue
		}
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/app/long") {
				s.ServeHTTP(w, r)
				return
			}
			w.Header().Set(standin.HeaderInstanceID, s.CurrentID())
			w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
			w.Header().Set(standin.HeaderSignature, "signed")
			_, _ = io.WriteString(w, strings.Repeat("x", 600<<10))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(w, "end")
		}))
		c.Cleanup(web.Close)
		f.serverAddresses[s.ID] = strings.TrimPrefix(web.URL, "http://")
		f.register(s)
	}
	f.eventually("the servers have moved", func() bool {
		r := f.call(http.MethodGet, "/app/long", workspaceKey, nil, nil) // at other hosts
		return r.err == nil && strings.HasSuffix(r.body, "end")
	})
	stop := f.startGraceful()
	late := lateRequest{id: "late-1", method: http.MethodGet, path: "/app/long", conn: f.connect(c)}
	f.keepBusy(c)
	at := f.timeOf(time.Second)
	stop()
	time.Sleep(time.Until(at))
	r, _ := late.send(c)
	c.Check(r.err, qt.IsNil, qt.Commentf("status %d, %d bytes", r.status, len(r.body)))
}

// TestFleetStopRefusesAfterOneSlowResponse guards against a stopping host that refuses plain requests of milliseconds since a single
// one of the last minute was slow.
func TestFleetStopRefusesAfterOneSlowResponse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t, 10_000)
	stop := f.startGraceful()
	f.injectFault("app", 1, standin.NoAnswer)
	slow := f.call(http.MethodGet, "/app/x", workspaceKey, nil, nil) // answered by another server, after the objective of 1 s
	c.Assert(slow.status, qt.Equals, http.StatusOK)
	for range 200 {
		begin := time.Now()
		c.Assert(f.call(http.MethodGet, "/app/x", workspaceKey, nil, nil).status, qt.Equals, http.StatusOK)
		c.Assert(time.Since(begin) < 500*time.Millisecond, qt.IsTrue)
	}
	late := lateRequest{id: "late-1", method: http.MethodGet, path: "/app/x", conn: f.connect(c)}
	f.keepBusy(c)
	at := f.timeOf(800 * time.Millisecond)
	stop()
	time.Sleep(time.Until(at))
	r, _ := late.send(c)
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusOK)
}

// TestFleetStopLeavesPlainRequestAtSilentServer guards against a stopping host that leaves a plain request with a server that is
// silent, and answers that it may have run, although another server would answer in milliseconds.
func TestFleetStopLeavesPlainRequestAtSilentServer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t, 10_000)
	stop := f.startGraceful()
	f.injectFault("app", 1, standin.NoAnswer)
	slow := f.call(http.MethodGet, "/app/x", workspaceKey, nil, nil) // answered by another server, after the objective of 1 s
	c.Assert(slow.status, qt.Equals, http.StatusOK)
	late := lateRequest{id: "late-1", method: http.MethodGet, path: "/app/x", conn: f.connect(c)}
	f.setEventPause(280 * time.Millisecond) // a stream takes 3.4 s, and keeps the host busy
	streamed := make(chan result, 1)
	go func() { streamed <- f.call(http.MethodPost, "/stream/x", workspaceKey, streamHeaders, nil) }()
	f.eventually("the stream runs", func() bool { return f.runningRequests("llm") == 1 })
	f.injectFault("app", 1, standin.NoAnswer)
	at := f.timeOf(1700 * time.Millisecond)
	stop()
	time.Sleep(time.Until(at))
	r, _ := late.send(c)
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusOK)
	c.Assert((<-streamed).err, qt.IsNil)
}

// TestFleetStopForgetsStreamsThatFailed guards against a stopping host that estimates streams only by those that ended in order, and
// begins one although the last ones of its route ran until their deadline.
func TestFleetStopForgetsStreamsThatFailed(t *testing.T) {
	t.Parallel()
	const earlier = 20
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startGraceful()
	for range earlier {
		c.Assert(f.call(http.MethodPost, "/stream/x", workspaceKey, streamHeaders, nil).err, qt.IsNil)
	}
	f.setEventPause(450 * time.Millisecond) // a stream takes 5.4 s, its route allows 5 s
	c.Assert(f.call(http.MethodPost, "/stream/x", workspaceKey, streamHeaders, nil).err, qt.IsNotNil)
	streams := f.openLateStreams(c, "/stream/x")
	f.keepBusy(c)
	at := f.timeOf(2 * time.Second)
	stop()
	time.Sleep(time.Until(at))
	r, _ := streams[0].send(c)
	c.Assert(r.err, qt.IsNil, qt.Commentf("status %d, %q", r.status, r.body))
	c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
}

// TestFleetStopAnswersEarlierReadOfResults checks that a call on a job is answered that began before the stop and waits for results
// beyond the grace period.
func TestFleetStopAnswersEarlierReadOfResults(t *testing.T) {
	t.Parallel()
	const items = 2
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startGraceful()
	f.setEventPause(time.Second) // the job is open until after the stop
	f.submitUntilAccepted("job-late", items)
	read := lateRequest{
		id: "late", method: http.MethodGet, path: standin.JobPath("job-late", items), header: standin.WaitHeaders(9000), conn: f.connect(c),
	}
	answered := make(chan result, 1)
	go func() {
		r, _ := read.send(c)
		answered <- r
	}()
	time.Sleep(200 * time.Millisecond)
	stop()
	r := <-answered
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.status == http.StatusOK || r.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", r.status))
}

// TestFleetStopHoldsWaitingStreams guards against a stopping host that sends a stream which waited for a slot as the stop began and has
// no time left, or that refuses it only once it gets the slot.
func TestFleetStopHoldsWaitingStreams(t *testing.T) {
	t.Parallel()
	const slots = 12
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startGraceful()
	f.setEventPause(240 * time.Millisecond) // a stream takes 2.9 s
	running := make(chan result, slots)
	for range slots {
		go func() { running <- f.call(http.MethodPost, "/stream/x", workspaceKey, streamHeaders, nil) }()
	}
	f.eventually("all slots are taken", func() bool { return f.runningRequests("llm") == slots })
	waiting := lateRequest{id: "late-1", method: http.MethodPost, path: "/stream/x", header: streamHeaders, conn: f.connect(c)}
	answered := make(chan result, 1)
	begin := time.Now()
	go func() {
		r, _ := waiting.send(c)
		answered <- r
	}()
	time.Sleep(100 * time.Millisecond)
	stop()
	r := <-answered
	t.Logf("status %d after %s: %s", r.status, time.Since(begin), r.body)
	c.Check(r.err, qt.IsNil)
	c.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(f.runCount(waiting.id), qt.Equals, 0)
	c.Check(time.Since(begin) < time.Second, qt.IsTrue, qt.Commentf("refused after %s", time.Since(begin)))
	for range slots {
		<-running
	}
}
