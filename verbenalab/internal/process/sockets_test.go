package process_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHasConnection checks that a connection belongs to the process that opened it and to no other.
func TestHasConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	_, port, err := net.SplitHostPort(l.Addr().String())
	c.Assert(err, qt.IsNil)
	owner := startProgram(c, "/bin/bash", "-c", "exec 3<>/dev/tcp/127.0.0.1/"+port+"; echo ready; read -u 3")
	other := startShell(c, "echo ready; while :; do sleep 0.01; done")
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	has, err := owner.HasConnection(conn.RemoteAddr(), conn.LocalAddr())
	c.Assert(err, qt.IsNil)
	c.Check(has, qt.IsTrue)
	has, err = other.HasConnection(conn.RemoteAddr(), conn.LocalAddr())
	c.Assert(err, qt.IsNil)
	c.Check(has, qt.IsFalse)
	_, err = owner.HasConnection(&net.TCPAddr{IP: net.IPv6loopback, Port: 1}, conn.LocalAddr())
	c.Check(err, qt.ErrorMatches, "look for the owner of a connection from .*: not IPv4 addresses")
}
