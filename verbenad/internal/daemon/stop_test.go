package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// countedRequests counts the requests that run, and those that ran and were not answered.
type countedRequests struct {
	inFlight  atomic.Int64
	mu        sync.Mutex
	ran       map[string]bool
	delivered map[string]bool
}

func (c *countedRequests) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	c.mu.Lock()
	c.ran[r.URL.Path] = true
	c.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	_, _ = io.WriteString(w, "done") // what is missing isn't counted as delivered
}

// call sends requests on one connection until it ends or the host says that it closes it.
func (c *countedRequests) call(address string, caller int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // it carries nothing
	reader := bufio.NewReader(conn)
	for n, closes := 0, false; !closes; n++ {
		path := fmt.Sprintf("/%d/%d", caller, n)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close() // it was read to its end
		if err != nil {
			return
		}
		c.mu.Lock()
		c.delivered[path] = true
		c.mu.Unlock()
		closes = response.Close
		time.Sleep(time.Millisecond)
	}
}

// TestStopAnswersRequestsThatRan guards against a stop that closes a connection as idle although a request has just been read from
// it, which then runs and has no connection for its answer. It stops the server of callers as Run and drain do.
func TestStopAnswersRequestsThatRan(t *testing.T) {
	const rounds, callers = 10, 200
	ran, unanswered := 0, 0
	for range rounds {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		address := ln.Addr().String()
		qt.Assert(t, ln.Close(), qt.IsNil)
		requests := &countedRequests{ran: make(map[string]bool), delivered: make(map[string]bool)}
		d := &Daemon{serveErrors: make(chan error, 1)}
		d.callerServer, err = d.serveHTTP(address, requests)
		qt.Assert(t, err, qt.IsNil)
		var ended sync.WaitGroup
		for n := range callers {
			ended.Go(func() { requests.call(address, n) })
		}
		time.Sleep(50 * time.Millisecond)
		for _, s := range d.httpServers {
			s.endConnections()
		}
		for end := time.Now().Add(time.Second); (requests.inFlight.Load() > 0 || d.callerServer.busy()) && time.Now().Before(end); {
			time.Sleep(drainPollInterval)
		}
		d.cleanUp()
		ended.Wait()
		ran += len(requests.ran)
		unanswered += len(requests.ran) - len(requests.delivered)
	}
	t.Logf("%d ran, %d of them without an answer", ran, unanswered)
	qt.Check(t, unanswered, qt.Equals, 0)
}
