package cmd

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// TestFleetStalledStreams guards against a stalled stream that is kept alive by comments, and against cutting one that is
// only slow.
func TestFleetStalledStreams(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("a stream of comments only is resumed elsewhere", func(c *qt.C) {
		f.injectFault("llm", 1, standin.StallWithComments)
		begin := time.Now()
		r := f.call("POST", "/resume/x", workspaceKey, streamHeaders, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(strings.ReplaceAll(r.body, standin.StallComment, ""), qt.Equals, streamBody(r.id))
		c.Assert(f.runCount(r.id), qt.Equals, 2)
		c.Assert(time.Since(begin) < 4*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
	})
	c.Run("an item whose stream sends only comments completes", func(c *qt.C) {
		f.injectFault("llm", 1, standin.StallWithComments)
		f.submitUntilAccepted("stalled", 1)
		f.awaitResults("stalled", 1)
	})
	c.Run("a slow but healthy stream is not cut", func(c *qt.C) {
		f.injectFault("llm", 9, standin.SlowStream)
		r := f.call("POST", "/resume/x", workspaceKey, resumeHeaders("9"), nil)
		checkRest(c, r, 3)
		c.Assert(f.runCount(r.id), qt.Equals, 1)
	})
}

// TestFleetEndlessResponses guards against servers that never stop sending: a head, body or event without end must
// neither block a caller nor take up ever more memory.
func TestFleetEndlessResponses(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("head", func(c *qt.C) {
		f.injectFault("app", 1, standin.EndlessHead)
		r := f.call("POST", "/app/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, http.StatusOK)
		c.Assert(f.runCount(r.id), qt.Equals, 2)
		f.injectFault("app", 1, standin.EndlessHead)
		r = f.call("POST", "/once/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("the request may have run"))
		c.Assert(f.runCount(r.id), qt.Equals, 1)
	})
	c.Run("event", func(c *qt.C) {
		f.injectFault("llm", 1, standin.EndlessEvent)
		begin := time.Now()
		r := f.call("POST", "/stream/x", workspaceKey, streamHeaders, nil)
		c.Assert(r.status, qt.Equals, http.StatusBadGateway)
		c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue)
	})
	c.Run("body", func(c *qt.C) {
		f.injectFault("app", 1, standin.EndlessBody)
		r := f.call("POST", "/app/x", workspaceKey, nil, []byte("q"))
		c.Assert(r.err, qt.IsNotNil, qt.Commentf("a cut response must not look complete"))
	})
	f.awaitIdle()
}

// awaitIdle waits until no server runs a request.
func (f *fleet) awaitIdle() {
	f.t.Helper()
	f.eventually("no server runs a request", func() bool {
		for _, s := range f.servers {
			if s.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// connect opens a raw connection to the first entry host.
func (f *fleet) connect(c *qt.C) net.Conn {
	conn, err := net.Dial("tcp", f.callerAddresses[0])
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// writeHead writes a request's head to a raw connection.
func (f *fleet) writeHead(c *qt.C, conn net.Conn, head ...string) {
	lines := slices.Concat(head, []string{
		"Host: host.example", "Authorization: Bearer " + workspaceKey, standin.HeaderRequestID + ": by-hand", "", "",
	})
	_, err := io.WriteString(conn, strings.Join(lines, "\r\n"))
	c.Assert(err, qt.IsNil)
}

// TestFleetSlowCallers guards against slow callers that take up resources: one that doesn't send its body gets 408 at its
// deadline, and one that doesn't read its response occupies no slot beyond its deadline.
func TestFleetSlowCallers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)
	deadline := standin.DeadlineHeader(500 * time.Millisecond)

	c.Run("slow body", func(c *qt.C) {
		conn := f.connect(c)
		f.writeHead(c, conn, "POST /app/x HTTP/1.1", "Content-Length: 100", deadline)
		_, err := io.WriteString(conn, "begin")
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		response, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(response), qt.Contains, "408 Request Timeout")
		c.Assert(f.runCount("by-hand"), qt.Equals, 0)
	})
	c.Run("unread response", func(c *qt.C) {
		f.injectFault("app", 12, standin.EndlessBody)
		for range 12 {
			f.writeHead(c, f.connect(c), "GET /app/x HTTP/1.1", deadline)
		}
		time.Sleep(100 * time.Millisecond) // until all slots of the service are occupied
		f.eventually("slots are free", func() bool { return f.call("GET", "/app/x", workspaceKey, nil, nil).status == http.StatusOK })
		f.awaitIdle()
	})
}

// TestFleetCallersLeaveLongResponses guards against a request that counts as one that breaks servers, and is refused to all
// callers, because some callers left in the middle of its long response.
func TestFleetCallersLeaveLongResponses(t *testing.T) {
	const (
		callers   = 6
		readBytes = 4 << 20 // more than an entry host buffers
	)
	c := qt.New(t)
	f := newFleet(t, 1000)
	f.injectFault("app", 1<<40, standin.EndlessBody)
	for range callers {
		conn := f.connect(c)
		f.writeHead(c, conn, "GET /app/long HTTP/1.1")
		c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		response, err := io.ReadAll(io.LimitReader(conn, readBytes))
		c.Assert(err, qt.IsNil, qt.Commentf("%d bytes: %.300s", len(response), response))
		c.Assert(conn.Close(), qt.IsNil)
	}
	f.injectFault("app", 0, standin.NoFault)
	f.awaitIdle()
	for range 10 {
		r := f.call("GET", "/app/long", workspaceKey, nil, nil)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
	}
}

// TestFleetManyEndlessResponses checks that each of many requests with endless response heads fails, or is refused only
// if it has not run, and that the service recovers.
func TestFleetManyEndlessResponses(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.injectFault("app", 1<<40, standin.EndlessHead)
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() {
			r := f.call("POST", "/once/x", workspaceKey, nil, []byte("q"))
			c.Check(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", r.status))
			c.Check(f.runCount(r.id) == 0 || r.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("refused as not executed although it ran"))
		})
	}
	wg.Wait()
	f.injectFault("app", 0, standin.NoFault)
	f.awaitIdle()
	f.eventually("the service is served again", func() bool { return f.call("GET", "/app/x", workspaceKey, nil, nil).status == http.StatusOK })
}
