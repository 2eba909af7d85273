package cmd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// lateRequest is a request on a connection that was opened earlier and not used.
type lateRequest struct {
	id           string
	method, path string
	header       map[string]string
	conn         net.Conn
}

// openLateStreams opens a connection for a stream of each path.
func (f *fleet) openLateStreams(c *qt.C, paths ...string) (streams []lateRequest) {
	for n, p := range paths {
		streams = append(streams, lateRequest{id: fmt.Sprintf("late-%d", n), method: http.MethodPost, path: p, header: streamHeaders, conn: f.connect(c)})
	}
	return streams
}

// send sends the request and reads its response. A whole response has no error; closes tells whether it announces that its
// connection closes.
func (s lateRequest) send(c *qt.C) (r result, closes bool) {
	r.id = s.id
	head := append(make([]string, 0, 5+len(s.header)),
		s.method+" "+s.path+" HTTP/1.1", "Host: host.example", "Authorization: Bearer "+workspaceKey, standin.HeaderRequestID+": "+s.id,
		"Content-Length: 0",
	)
	for k, v := range s.header {
		head = append(head, k+": "+v)
	}
	c.Assert(s.conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	if _, r.err = io.WriteString(s.conn, strings.Join(head, "\r\n")+"\r\n\r\n"); r.err != nil {
		return r, false
	}
	response, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if r.err = err; err != nil {
		return r, false
	}
	defer func() { _ = response.Body.Close() }() // read errors are in the result
	body, err := io.ReadAll(response.Body)
	r.status, r.header, r.body, r.err = response.StatusCode, response.Header, string(body), err
	return r, response.Close
}

// keepBusy keeps the host busy until the end of its grace period.
func (f *fleet) keepBusy(c *qt.C) {
	f.injectFault("app", 1, standin.NoAnswer)
	var running sync.WaitGroup
	running.Go(func() { f.call("POST", "/once/x", workspaceKey, nil, []byte("q")) })
	c.Cleanup(running.Wait)
	f.eventually("the request runs", func() bool { return f.runningRequests("app") == 1 })
}

// runningRequests returns how many requests the servers of a service run.
func (f *fleet) runningRequests(service string) (n int) {
	for _, s := range f.servers {
		if s.Service == service {
			n += s.Running()
		}
	}
	return n
}

// TestFleetStopBeginsStreamsItCannotEnd guards against a stopping host that begins a stream which takes longer than what is left
// of the grace period, and cuts it.
func TestFleetStopBeginsStreamsItCannotEnd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startGraceful()
	f.setEventPause(150 * time.Millisecond)
	streams := f.openLateStreams(c, "/stream/x", "/resume/x", "/stream/x")
	f.keepBusy(c)
	stop()
	time.Sleep(f.grace/2 + 500*time.Millisecond) // the host no longer listens, and a stream takes 1.8 s
	var callers sync.WaitGroup
	for _, s := range streams {
		callers.Go(func() {
			r, closes := s.send(c)
			c.Check(r.err, qt.IsNil, qt.Commentf("status %d, %q", r.status, r.body))
			c.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(closes, qt.IsTrue)
			c.Check(f.runCount(s.id), qt.Equals, 0)
		})
	}
	callers.Wait()
}

// TestFleetStopServesStreamsThatFit checks that a stopping host serves a stream that may last longer than what is left of the grace
// period, if streams of its route have not taken that long.
func TestFleetStopServesStreamsThatFit(t *testing.T) {
	t.Parallel()
	const earlierStreams = 20
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startGraceful()
	for range earlierStreams {
		c.Assert(f.call("POST", "/stream/x", workspaceKey, streamHeaders, nil).err, qt.IsNil)
	}
	streams := f.openLateStreams(c, "/stream/x")
	stop()
	time.Sleep(f.grace / 8)
	r, _ := streams[0].send(c)
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusOK)
	c.Assert(r.body, qt.Equals, streamBody(r.id))
}

// TestFleetStopCutsReadOfResults guards against a stop that cuts a call on a job which waits for results beyond the grace period.
func TestFleetStopCutsReadOfResults(t *testing.T) {
	t.Parallel()
	const items = 2
	c := qt.New(t)
	f := newFleet(t, 1000)
	stop := f.startGraceful()
	f.setEventPause(time.Second) // the job is open until after the stop
	f.submitUntilAccepted("job-late", items)
	read := lateRequest{
		id: "late", method: http.MethodGet, path: standin.JobPath("job-late", items), header: standin.WaitHeaders(1000), conn: f.connect(c),
	}
	f.keepBusy(c)
	stop()
	time.Sleep(f.grace - 700*time.Millisecond) // 0.3 s before the host ends requests
	r, _ := read.send(c)
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.status == http.StatusOK || r.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", r.status))
}
