package tcpstate

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// receiptWait is longer than a reset takes to arrive on the same machine.
const receiptWait = 10 * time.Second

// watchedConn calls onLook before each look at the state of the connection, with the number of looks before.
type watchedConn struct {
	*net.TCPConn
	onLook func(looks int)
	looks  int
}

func (w *watchedConn) SyscallConn() (syscall.RawConn, error) {
	w.onLook(w.looks)
	w.looks++
	return w.TCPConn.SyscallConn()
}

// openPair opens a connection and returns both sides of it.
func openPair(c *qt.C) (conn, peer *net.TCPConn) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	address, ok := ln.Addr().(*net.TCPAddr)
	c.Assert(ok, qt.IsTrue)
	conn, err = net.DialTCP("tcp", nil, address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	peer, err = ln.AcceptTCP()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = peer.Close() })
	return conn, peer
}

// readEnd reads until the peer has ended its direction.
func readEnd(c *qt.C, conn *net.TCPConn) {
	n, err := conn.Read(make([]byte, 1))
	c.Assert(n, qt.Equals, 0)
	c.Assert(err, qt.Equals, io.EOF)
}

// TestResetAfterOrderlyEndIsNotOrderly guards against a server's reset that follows the end of its direction and is taken for an
// orderly end, since it arrives after the first look.
func TestResetAfterOrderlyEndIsNotOrderly(t *testing.T) {
	c := qt.New(t)
	conn, peer := openPair(c)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	readEnd(c, conn)
	reset := func(looks int) {
		if looks != 1 {
			return
		}
		c.Assert(peer.SetLinger(0), qt.IsNil)
		c.Assert(peer.Close(), qt.IsNil)
		for end := time.Now().Add(receiptWait); time.Now().Before(end); time.Sleep(time.Millisecond) {
			info, err := tcpInfo(conn)
			c.Assert(err, qt.IsNil)
			if info.State != tcpCloseWait {
				return
			}
		}
		c.Fatal("the reset has not arrived")
	}
	c.Assert(ClosedInOrder(&watchedConn{TCPConn: conn, onLook: reset}), qt.IsFalse)
}

// TestOrderlyEndIsOrderly checks an end without a reset, after the peer has received all that was written.
func TestOrderlyEndIsOrderly(t *testing.T) {
	c := qt.New(t)
	conn, peer := openPair(c)
	_, err := conn.Write([]byte("request"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(peer, make([]byte, 7))
	c.Assert(err, qt.IsNil)
	c.Assert(peer.CloseWrite(), qt.IsNil)
	readEnd(c, conn)
	c.Assert(ClosedInOrder(conn), qt.IsTrue)
}
