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
)

// frozenConn is a connection to a process that reads nothing any more.
type frozenConn struct{ net.Conn }

func (c frozenConn) Write(p []byte) (int, error) { return len(p), nil }

// TestFrozenRelayLosesFewRequests guards against a frozen relay that swallows one request after another, as many as there are
// unused connections over it.
func TestFrozenRelayLosesFewRequests(t *testing.T) {
	c := qt.New(t)
	const calls = 6
	var arrived atomic.Int64
	allArrived := make(chan struct{})
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			if arrived.Add(1) == calls {
				close(allArrived)
			}
			<-allArrived
			_, _ = io.WriteString(c, responseText(string(body), line))
		}
	})
	relays, _ := startRelay(t, s)
	d := &cuttableDialer{}
	d.cut.Store(true)
	client := NewClient(clock.System{}, WithDialer(d), WithRelays(relays))
	var ended sync.WaitGroup
	for range calls {
		ended.Go(func() {
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if _, err := send(t, client, nextRequest(s)); err == nil {
					return
				}
			}
		})
	}
	ended.Wait()
	client.mu.Lock()
	for _, cn := range client.idle[s.ID] {
		cn.Conn = frozenConn{cn.Conn}
	}
	client.mu.Unlock()
	lost := 0
	for range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		response, err := client.Send(ctx, testProtocol{}, nextRequest(s))
		if err != nil {
			lost++
		} else {
			response.Close()
		}
		cancel()
	}
	c.Check(lost, qt.Equals, 1)
}
