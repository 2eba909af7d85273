package serverrelay

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stalledConn is a connection to a server that reads nothing: writes end at their deadlines.
type stalledConn struct{ net.Conn }

func (stalledConn) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestStalledWriteIsNotTheServersReset guards against a relay that gives up a server that reads nothing, and reports its own act as
// a reset by the server, which counts as a crash.
func TestStalledWriteIsNotTheServersReset(t *testing.T) {
	ours, server := net.Pipe()
	defer func() { _ = server.Close() }()
	host, relay := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p := &pipe{host: relay, server: stalledConn{Conn: ours}}
		p.run(relay)
	}()
	conn := newConn(host, bufio.NewReader(host))
	_, err := io.WriteString(conn, "request")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*readRestTimeout)), qt.IsNil)
	_, err = conn.Read(make([]byte, 9))
	qt.Check(t, err, qt.ErrorIs, ErrRelayLost)
	qt.Assert(t, conn.Close(), qt.IsNil)
	<-ended
}
