package host

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// longRequestTime is longer than a listener takes to close.
	longRequestTime = 700 * time.Millisecond
	// longGrace is longer than a test takes on a busy machine.
	longGrace = time.Minute
)

// newContextServer is a server whose handler ends a request without an answer once its context has ended, as the entry's does.
func newContextServer(c *qt.C) *stoppingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &stoppingServer{
		relaysEnded: make(chan struct{}), stopped: make(chan error, 1), handled: make(chan struct{}, 9), release: make(chan struct{}),
	}
	close(s.relaysEnded)
	s.callerServer = startCallerServer(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.handled <- struct{}{}
		duration := longRequestTime
		switch r.URL.Path {
		case "/short":
			duration = 0
		case "/blocked":
			duration = longGrace
		}
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(duration):
		case <-s.release:
		}
		_, _ = io.WriteString(w, "answer")
	}), func() {})
	s.conn, err = net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.conn.Close() })
	c.Assert(s.conn.SetDeadline(time.Now().Add(2*testGrace)), qt.IsNil)
	s.reader = bufio.NewReader(s.conn)
	return s
}

const (
	shortRequest = "POST /short HTTP/1.1\r\nHost: host.example\r\nContent-Length: 5\r\n\r\nhello"
	// blockedRequest is answered once the test releases it.
	blockedRequest = "POST /blocked HTTP/1.1\r\nHost: host.example\r\nContent-Length: 5\r\n\r\nhello"
	longRequest    = "POST /long HTTP/1.1\r\nHost: host.example\r\nContent-Length: 5\r\n\r\nhello"
)

func (s *stoppingServer) write(c *qt.C, text string) {
	_, err := io.WriteString(s.conn, text)
	c.Assert(err, qt.IsNil)
}

func (s *stoppingServer) waitHandled(c *qt.C) {
	select {
	case <-s.handled:
		s.handled <- struct{}{}
	case <-time.After(testGrace):
		c.Fatal("the request was not handled")
	}
}

// TestIdleEndCutsPipelinedRequestInProgress guards against a stop that takes a connection for idle whose request was read
// together with the one before it: its context ends while it runs.
func TestIdleEndCutsPipelinedRequestInProgress(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.write(c, shortRequest+longRequest)
	s.checkAnswered(c)
	s.waitHandled(c)
	s.stopUntil(time.Now().Add(testGrace))
	s.checkAnswered(c)
	s.checkStopped(c)
}

// TestPipelinedRequestStartsAfterIdleEnd is the same with a request that begins after the stop has ended idle connections.
func TestPipelinedRequestStartsAfterIdleEnd(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.write(c, longRequest+longRequest)
	s.waitHandled(c)
	s.stopUntil(time.Now().Add(testGrace))
	response, err := http.ReadResponse(s.reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	<-s.handled
	if response.Close {
		return // the caller knows that its next request is not served
	}
	s.checkAnswered(c)
	s.checkStopped(c)
}

// TestResponseDuringStopAnnouncesClose guards against a stop that ends a connection whose last response did not say so: the
// caller sends its next request on it.
func TestResponseDuringStopAnnouncesClose(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.write(c, longRequest)
	s.waitHandled(c)
	s.stopUntil(time.Now().Add(testGrace))
	response, err := http.ReadResponse(s.reader, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.Close, qt.IsTrue)
	s.checkStopped(c)
}

// checkStopsAtOnce checks that a stop doesn't wait for a connection that carries no request.
func (s *stoppingServer) checkStopsAtOnce(c *qt.C) {
	start := time.Now()
	s.stopUntil(time.Now().Add(testGrace))
	s.checkStopped(c)
	took := time.Since(start)
	c.Assert(took < testGrace-500*time.Millisecond, qt.IsTrue, qt.Commentf("stopping took %s", took))
}

// TestStopWaitsForLineBreakAfterBody guards against a stop that lasts until its end because a caller sends a line break after
// a body, which net/http tolerates.
func TestStopWaitsForLineBreakAfterBody(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.write(c, shortRequest)
	s.checkAnswered(c)
	time.Sleep(requestTime)
	s.write(c, "\r\n")
	time.Sleep(requestTime)
	s.checkStopsAtOnce(c)
}

// TestStopWaitsForConnectionWithPartOfHead is the same with a new connection of which only a part of a head arrives.
func TestStopWaitsForConnectionWithPartOfHead(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	s.write(c, "POST /short HTTP/1.1\r\nHo")
	time.Sleep(requestTime)
	s.checkStopsAtOnce(c)
}

// TestStopClosesUnusedConnectionInUse guards against a stop that closes an unused connection although the server is busy, and
// its caller sends the first request late.
func TestStopClosesUnusedConnectionInUse(t *testing.T) {
	c := qt.New(t)
	s := newContextServer(c)
	busy, err := net.Dial("tcp", s.conn.RemoteAddr().String()) // accepted after s.conn, which stays unused
	c.Assert(err, qt.IsNil)
	defer func() { _ = busy.Close() }()
	_, err = io.WriteString(busy, blockedRequest)
	c.Assert(err, qt.IsNil)
	s.waitHandled(c)
	c.Assert(s.conn.SetDeadline(time.Now().Add(longGrace)), qt.IsNil)
	s.stopUntil(time.Now().Add(longGrace))
	time.Sleep(2 * firstRequestWait)
	s.write(c, shortRequest)
	s.checkAnswered(c)
	close(s.release)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	s.checkStopped(c)
}
