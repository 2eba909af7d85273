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

// TestFleetStalledStreams: a stream that sends only comments is stalled and ends; one that is slow goes on.
func TestFleetStalledStreams(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("comments keep no stream alive", func(c *qt.C) {
		f.faults("llm", 1, standin.StallWithComments)
		begin := time.Now()
		r := f.call("POST", "/resume/x", key, tokens, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(strings.ReplaceAll(r.body, standin.StallComment, ""), qt.Equals, stream(r.id))
		c.Assert(f.ran(r.id), qt.Equals, 2)
		c.Assert(time.Since(begin) < 4*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
	})
	c.Run("comments keep no item alive", func(c *qt.C) {
		f.faults("llm", 1, standin.StallWithComments)
		f.eventually("the job is accepted", func() bool { return f.submit("stalled", 1).status == http.StatusAccepted })
		f.whole("stalled", 1)
	})
	c.Run("a slow stream that is sound is not cut", func(c *qt.C) {
		f.faults("llm", 9, standin.SlowStream)
		h := map[string]string{"Last-Event-Id": "9"}
		for k, v := range tokens {
			h[k] = v
		}
		r := f.call("POST", "/resume/x", key, h, nil)
		c.Assert(r.err, qt.IsNil)
		c.Assert(strings.HasSuffix(stream(r.id), r.body) && strings.Count(r.body, "id:") == 3, qt.IsTrue, qt.Commentf("%q", r.body))
		c.Assert(f.ran(r.id), qt.Equals, 1)
	})
}

// TestFleetEndlessAnswers: bytes without end in a head, a body or an event neither hold a caller nor grow in memory.
func TestFleetEndlessAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)

	c.Run("head", func(c *qt.C) {
		f.faults("app", 1, standin.EndlessHead)
		r := f.call("POST", "/app/x", key, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, http.StatusOK)
		c.Assert(f.ran(r.id), qt.Equals, 2)
		f.faults("app", 1, standin.EndlessHead)
		r = f.call("POST", "/once/x", key, nil, []byte("q"))
		c.Assert(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("what ran is unknown"))
		c.Assert(f.ran(r.id), qt.Equals, 1)
	})
	c.Run("event", func(c *qt.C) {
		f.faults("llm", 1, standin.EndlessEvent)
		begin := time.Now()
		r := f.call("POST", "/stream/x", key, tokens, nil)
		c.Assert(r.status, qt.Equals, http.StatusBadGateway)
		c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue)
	})
	c.Run("body", func(c *qt.C) {
		f.faults("app", 1, standin.EndlessBody)
		r := f.call("POST", "/app/x", key, nil, []byte("q"))
		c.Assert(r.err, qt.IsNotNil, qt.Commentf("an answer that is cut must not look complete"))
	})
	f.idle()
}

// idle waits until no server works.
func (f *fleet) idle() {
	f.t.Helper()
	f.eventually("no server works", func() bool {
		for _, s := range f.servers {
			if s.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// caller connects by hand.
func (f *fleet) caller(c *qt.C) net.Conn {
	conn, err := net.Dial("tcp", f.fronts[0])
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask writes a request's head by hand.
func (f *fleet) ask(c *qt.C, conn net.Conn, head ...string) {
	lines := slices.Concat(head, []string{
		"Host: host.example", "Authorization: Bearer " + key, standin.HeaderRequestID + ": by-hand", "", "",
	})
	_, err := io.WriteString(conn, strings.Join(lines, "\r\n"))
	c.Assert(err, qt.IsNil)
}

// TestFleetSlowCallers: a caller that doesn't send its body is told so when its time is over, and one that doesn't
// read its answer holds no slot beyond its time.
func TestFleetSlowCallers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1000)
	deadline := standin.DeadlineHeader(500 * time.Millisecond)

	c.Run("slow body", func(c *qt.C) {
		conn := f.caller(c)
		f.ask(c, conn, "POST /app/x HTTP/1.1", "Content-Length: 100", deadline)
		_, err := io.WriteString(conn, "begin")
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		answer, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer), qt.Contains, "408 Request Timeout")
		c.Assert(f.ran("by-hand"), qt.Equals, 0)
	})
	c.Run("answer that nobody reads", func(c *qt.C) {
		f.faults("app", 12, standin.EndlessBody)
		for range 12 {
			f.ask(c, f.caller(c), "GET /app/x HTTP/1.1", deadline)
		}
		time.Sleep(100 * time.Millisecond) // all slots of the service are held
		f.eventually("slots are free", func() bool { return f.call("GET", "/app/x", key, nil, nil).status == http.StatusOK })
		f.idle()
	})
}

// TestFleetManyEndlessAnswers: many endless answers at once go on to sound servers, or are told as failed.
func TestFleetManyEndlessAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	f.faults("app", 1<<40, standin.EndlessHead)
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() {
			r := f.call("POST", "/once/x", key, nil, []byte("q"))
			c.Check(r.status == http.StatusBadGateway || r.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d", r.status))
			c.Check(f.ran(r.id) == 0 || r.status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("refused as not run, and it ran"))
		})
	}
	wg.Wait()
	f.faults("app", 0, standin.NoFault)
	f.idle()
	f.eventually("the service is served again", func() bool { return f.call("GET", "/app/x", key, nil, nil).status == http.StatusOK })
}
