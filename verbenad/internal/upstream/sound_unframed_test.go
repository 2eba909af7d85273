package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
)

// TestSoundUnframedAnswersLookBroken guards against whole responses without length and chunks that are taken for broken
// off because the result of the body's write isn't known yet.
func TestSoundUnframedAnswersLookBroken(t *testing.T) {
	const callers, requestsEach = 16, 300
	client := NewClient(clock.System{})
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole"))
	})
	var wg sync.WaitGroup
	var broken atomic.Int64
	for range callers {
		wg.Go(func() {
			for range requestsEach {
				if _, err := send(t, client, request(s, "a", make([]byte, maxInlineBody+1))); err != nil {
					broken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	qt.Assert(t, broken.Load(), qt.Equals, int64(0))
}

// TestEarlyUnframedAnswerLooksBroken guards against the same for a server that answers before it has read the body, ends
// its direction of the connection in order, and reads on.
func TestEarlyUnframedAnswerLooksBroken(t *testing.T) {
	s := earlyServer(t)
	text, err := send(t, NewClient(clock.System{}), request(s, "a", make([]byte, 16<<20)))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, text, qt.Equals, "whole")
}

// earlyServer starts a server that does so.
func earlyServer(t *testing.T) directory.Server {
	return server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, err := r.ReadString('\n')
		tcp, ok := c.(*net.TCPConn)
		if err != nil || !ok {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 413 X\r\nId: a\r\n\r\nwhole"))
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
}

// TestRelayedEarlyUnframedAnswerLooksBroken guards against the same over a relay, which doesn't know how long the body is.
func TestRelayedEarlyUnframedAnswerLooksBroken(t *testing.T) {
	s := earlyServer(t)
	d := &cuttableDialer{}
	d.cut.Store(true)
	relays, _ := startRelay(t, s)
	client := NewClient(clock.System{}, WithDialer(d), WithRelays(relays))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := send(t, client, request(s, "a", nil)); err == nil {
			break // the relay listens
		}
	}
	for range 20 {
		text, err := send(t, client, request(s, "a", make([]byte, 8<<20)))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, text, qt.Equals, "whole")
	}
}
