package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
)

// TestUsedConnectionsArentClosedAsUnused guards against a host that closes a connection as unused while a request is sent on it: the
// request may have run. Servers here never close, so each failure is the host's own. The contexts of requests end as their
// connections are put back.
func TestUsedConnectionsArentClosedAsUnused(t *testing.T) {
	const (
		senders  = 8
		duration = time.Second
	)
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			_, _ = io.WriteString(c, responseText(string(body), line)) // a failed one is counted by the sender
		}
	})
	client := NewClient(clock.System{})
	end := time.Now().Add(duration)
	var ended sync.WaitGroup
	var sent, failed, reused atomic.Int64
	for range senders {
		ended.Go(func() {
			for time.Now().Before(end) {
				ctx, cancel := context.WithCancel(t.Context())
				sent.Add(1)
				response, err := client.Send(ctx, testProtocol{}, nextRequest(s))
				if err == nil {
					if response.conn.reused {
						reused.Add(1)
					}
					_, err = readBody(response)
					ended.Go(cancel)
					response.Close()
				}
				if err != nil {
					failed.Add(1)
				}
				cancel()
			}
		})
	}
	ended.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			client.CloseUnused(1, func(ids.BackendID) bool { return n%2 == 0 })
			time.Sleep(100 * time.Microsecond)
		}
	})
	ended.Wait()
	t.Logf("%d sent, %d on reused connections, %d failed", sent.Load(), reused.Load(), failed.Load())
	qt.Check(t, reused.Load() > 0, qt.IsTrue)
	qt.Check(t, failed.Load(), qt.Equals, int64(0))
}
