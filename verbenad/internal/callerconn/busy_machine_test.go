package callerconn

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// busyTime is how long a goroutine may be held up on a busy machine.
const busyTime = 40 * time.Millisecond

// busyListener accepts busy connections.
type busyListener struct{ *net.TCPListener }

func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return busyConn{c}, nil
}

// busyConn is held up after it has set a read deadline in the future.
type busyConn struct{ *net.TCPConn }

func (c busyConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if t.After(time.Now()) {
		time.Sleep(busyTime)
	}
	return err
}

func listenLocal(c *qt.C) *net.TCPListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	tcp, ok := ln.(*net.TCPListener)
	c.Assert(ok, qt.IsTrue)
	return tcp
}

// TestLastReadMissesRequestOnBusyMachine guards against a last read that returns without having looked at what has arrived, as
// its deadline has passed before it begins.
func TestLastReadMissesRequestOnBusyMachine(t *testing.T) {
	c := qt.New(t)
	l := NewListener(busyListener{listenLocal(c)})
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	conn, ok := accepted.(*Conn)
	c.Assert(ok, qt.IsTrue)
	defer func() { _ = conn.Close() }()
	conn.used = true
	conn.endWhenIdle()
	_, err = io.WriteString(caller, "request")
	c.Assert(err, qt.IsNil)
	time.Sleep(busyTime)
	n, err := conn.Read(make([]byte, 9))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 7)
}

// TestDrainDropsQueueOnBusyMachine guards against a listener that closes with connections in its queue because the goroutine
// that accepts was held up.
func TestDrainDropsQueueOnBusyMachine(t *testing.T) {
	c := qt.New(t)
	l := NewListener(listenLocal(c))
	const callers = 3
	for range callers {
		caller, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = caller.Close() }()
	}
	l.Drain(time.Now().Add(maxAcceptTime))
	for n := range callers {
		accepted, err := l.Accept()
		c.Assert(err, qt.IsNil, qt.Commentf("%d of %d accepted", n, callers))
		defer func() { _ = accepted.Close() }()
		time.Sleep(busyTime)
	}
}

// acceptUsed returns a connection that has carried a request, and its caller.
func acceptUsed(c *qt.C) (conn *Conn, caller net.Conn) {
	l := NewListener(listenLocal(c))
	caller, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	conn, ok := accepted.(*Conn)
	c.Assert(ok, qt.IsTrue)
	conn.used = true
	c.Cleanup(func() { _, _, _ = conn.Close(), caller.Close(), l.Close() })
	return conn, caller
}

// TestEndWhenIdleReadsWhatHasArrived guards against an idle connection that ends although a request has arrived.
func TestEndWhenIdleReadsWhatHasArrived(t *testing.T) {
	c := qt.New(t)
	conn, caller := acceptUsed(c)
	_, err := io.WriteString(caller, "request")
	c.Assert(err, qt.IsNil)
	time.Sleep(busyTime)
	conn.endWhenIdle()
	n, err := conn.Read(make([]byte, 9))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 7)
}

// TestEndWhenIdleWaitsForRestOfRequest guards against a connection that ends because the rest of its request comes later.
func TestEndWhenIdleWaitsForRestOfRequest(t *testing.T) {
	c := qt.New(t)
	conn, caller := acceptUsed(c)
	_, err := io.WriteString(caller, "req")
	c.Assert(err, qt.IsNil)
	time.Sleep(busyTime)
	conn.endWhenIdle()
	_, err = conn.Read(make([]byte, 9))
	c.Assert(err, qt.IsNil)
	time.AfterFunc(busyTime, func() { _, _ = io.WriteString(caller, "uest") })
	n, err := conn.Read(make([]byte, 9))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 4)
}
