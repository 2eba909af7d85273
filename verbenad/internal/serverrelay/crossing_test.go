package serverrelay

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestThatCrossesStopIsAnswered guards against a relay that stops and drops requests which other hosts send before they have
// read the announcement. Hosts send while Connections reports what is relayed, and close a connection once it isn't reusable.
func TestRequestThatCrossesStopIsAnswered(t *testing.T) {
	const rounds, hosts = 20, 16
	s := startServer(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, line)
		}
	})
	sent, lost := 0, 0
	for range rounds {
		r := NewRelay(&testServers{listed: s})
		address, end := startRelay(t, r)
		var mu sync.Mutex
		var ended sync.WaitGroup
		for range hosts {
			conn, err := dialer(address).DialServer(t.Context(), s)
			qt.Assert(t, err, qt.IsNil)
			ended.Go(func() {
				answered, failed := sendUntilStop(conn)
				mu.Lock()
				defer mu.Unlock()
				sent, lost = sent+answered+failed, lost+failed
			})
		}
		time.Sleep(5 * time.Millisecond)
		r.Stop(time.Now().Add(5 * time.Second))
		end() // as the process then does
		ended.Wait()
	}
	t.Logf("%d sent, %d lost", sent, lost)
	qt.Check(t, lost, qt.Equals, 0)
}

// sendUntilStop sends one request after another on a connection while it is reusable, and then closes it.
func sendUntilStop(c *Conn) (answered, failed int) {
	defer func() { _ = c.Close() }() // it carries nothing
	for c.Reusable() {
		if _, err := io.WriteString(c, "request\n"); err != nil {
			return answered, failed + 1
		}
		var line [8]byte
		if _, err := io.ReadFull(c, line[:]); err != nil {
			return answered, failed + 1
		}
		answered++
	}
	return answered, failed
}
