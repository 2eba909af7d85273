package relay_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbenalab/internal/relay"
)

const (
	// silence is how long a test waits for bytes that must not come, replyLimit for those that must.
	silence    = 100 * time.Millisecond
	replyLimit = 10 * time.Second
)

// startEcho starts a server that sends back what it receives, behind a relay.
func startEcho(c *qt.C) (r *relay.TCP, address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }() // ends with the connection
		}
	}()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address = free.Addr().String()
	c.Assert(free.Close(), qt.IsNil)
	r, err = relay.NewTCP(address, l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = r.Close() })
	return r, address
}

func connect(c *qt.C, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends a byte and returns the error of reading it back.
func echo(conn net.Conn, limit time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// TestCutSeparatesOneClient checks each pair of fates: the client that is cut off suffers them, another one doesn't, and after
// the end both are served.
func TestCutSeparatesOneClient(t *testing.T) {
	for _, tc := range []struct {
		name              string
		open, new         relay.Fate
		openErr, freshErr error
	}{
		{"silent", relay.Silence, relay.Silence, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"reset", relay.Reset, relay.Silence, syscall.ECONNRESET, os.ErrDeadlineExceeded},
		{"refused", relay.Reset, relay.Reset, syscall.ECONNRESET, syscall.ECONNRESET},
		{"alive", relay.Continue, relay.Reset, nil, syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r, address := startEcho(c)
			cutOff, other := connect(c, address), connect(c, address)
			c.Assert(echo(cutOff, replyLimit), qt.IsNil)
			c.Assert(echo(other, replyLimit), qt.IsNil)
			kept := other.LocalAddr().String()
			cut := &relay.Cut{Applies: func(fromClient net.Conn) bool { return fromClient.RemoteAddr().String() != kept }, Open: tc.open, New: tc.new}
			r.BeginCut(cut)
			if tc.openErr == nil {
				c.Check(echo(cutOff, replyLimit), qt.IsNil)
			} else {
				c.Check(echo(cutOff, silence), qt.ErrorIs, tc.openErr)
			}
			fresh, err := net.Dial("tcp", address) // a reset may come before Dial returns
			if err == nil {
				c.Cleanup(func() { _ = fresh.Close() })
				err = echo(fresh, silence)
			}
			c.Check(err, qt.ErrorIs, tc.freshErr)
			c.Check(echo(other, replyLimit), qt.IsNil)
			r.EndCut(cut)
			if tc.open == relay.Silence {
				c.Check(echo(cutOff, replyLimit), qt.IsNotNil, qt.Commentf("a connection that has lost bytes must not go on"))
			}
			c.Check(echo(other, replyLimit), qt.IsNil)
			c.Check(echo(connect(c, address), replyLimit), qt.IsNil)
		})
	}
}
