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
	// testGrace is how long a stop may wait for requests.
	testGrace = 3 * time.Second
	// requestTime is how long the handler works on a request.
	requestTime = 50 * time.Millisecond
	// firstRequestWait is longer than a stopping server waits for the first request of a connection.
	firstRequestWait = time.Second
)

// stoppingServer is a server of callers with one connection.
type stoppingServer struct {
	*callerServer
	listener    *delayedListener
	conn        net.Conn
	reader      *bufio.Reader
	relaysEnded chan struct{}
	stopped     chan error
	handled     chan struct{}
	release     chan struct{}
}

func newStoppingServer(c *qt.C, undelayedReads int) *stoppingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	tcp, ok := ln.(*net.TCPListener)
	c.Assert(ok, qt.IsTrue)
	s := &stoppingServer{
		listener:    &delayedListener{TCPListener: tcp, held: make(chan struct{}, 9), undelayed: undelayedReads},
		relaysEnded: make(chan struct{}), stopped: make(chan error, 1), handled: make(chan struct{}, 9),
	}
	s.callerServer = startCallerServer(s.listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.handled <- struct{}{}
		time.Sleep(requestTime)
		_, _ = io.WriteString(w, "answer")
	}), func() {})
	s.conn, err = net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.conn.Close() })
	c.Assert(s.conn.SetDeadline(time.Now().Add(2*testGrace)), qt.IsNil)
	s.reader = bufio.NewReader(s.conn)
	return s
}

func (s *stoppingServer) send(c *qt.C) {
	_, err := io.WriteString(s.conn, "POST /x HTTP/1.1\r\nHost: host.example\r\nContent-Length: 5\r\n\r\nhello")
	c.Assert(err, qt.IsNil)
}

// checkAnswered checks that the request was handled and that its whole answer arrives.
func (s *stoppingServer) checkAnswered(c *qt.C) {
	s.checkAnswer(c)
	s.checkHandled(c)
}

func (s *stoppingServer) checkAnswer(c *qt.C) {
	response, err := http.ReadResponse(s.reader, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(string(body), qt.Equals, "answer")
}

func (s *stoppingServer) checkHandled(c *qt.C) {
	select {
	case <-s.handled:
	case <-time.After(testGrace):
		c.Fatal("the request was not handled")
	}
}

// waitHeld waits until a request has been read and is held up.
func (s *stoppingServer) waitHeld(c *qt.C) {
	select {
	case <-s.listener.held:
	case <-time.After(testGrace):
		c.Fatal("nothing was held up")
	}
}

// checkStopped checks that the server has stopped in order.
func (s *stoppingServer) checkStopped(c *qt.C) {
	select {
	case err := <-s.stopped:
		c.Assert(err, qt.IsNil)
	case <-time.After(2 * testGrace):
		c.Fatal("the server has not stopped")
	}
}

// stopUntil stops the server, which may wait until end.
func (s *stoppingServer) stopUntil(end time.Time) {
	go func() { s.stopped <- s.stop(end, s.relaysEnded) }()
}

// TestIdleCloseDropsRequestThatWasRead guards against a stop that closes a connection as idle whose next request has been
// read: the request runs, and its answer has no connection.
func TestIdleCloseDropsRequestThatWasRead(t *testing.T) {
	c := qt.New(t)
	s := newStoppingServer(c, 1)
	s.send(c)
	s.checkAnswered(c)
	time.Sleep(requestTime) // until the connection is idle
	s.send(c)
	s.waitHeld(c)
	s.stopUntil(time.Now().Add(testGrace)) // the relayed connections keep the server from its last close
	s.checkHandled(c)
	s.checkAnswer(c)
	close(s.relaysEnded)
	s.checkStopped(c)
}

// TestLastCloseDropsRequest guards against a stop that looks at callers' connections for the last time before it has waited
// for the relayed ones: a request that comes meanwhile is cut.
func TestLastCloseDropsRequest(t *testing.T) {
	c := qt.New(t)
	s := newStoppingServer(c, 9)
	time.Sleep(firstRequestWait)
	s.stopUntil(time.Now().Add(testGrace))
	time.Sleep(requestTime + openPollInterval)
	_, _ = io.WriteString(s.conn, "GET /x HTTP/1.1\r\nHost: host.example\r\n\r\n") // the connection may be closed
	handled := false
	select {
	case <-s.handled:
		handled = true
	case <-time.After(requestTime):
	}
	close(s.relaysEnded)
	if handled {
		s.checkAnswer(c)
	} else {
		_, err := s.reader.ReadByte()
		c.Assert(err, qt.IsNotNil)
	}
	s.checkStopped(c)
}
