package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
)

// TestUnreadAnswersEnd guards against connections that stay open for good, since net/http sends the buffered rest of an answer after
// the handler has ended, and the caller doesn't read it.
func TestUnreadAnswersEnd(t *testing.T) {
	c := qt.New(t)
	h := New(nil, nil, nil, nil, nil, clock.System{}, 64)
	closed := make(chan bool, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer h.setWriteDeadline(&request{httpRequest: r, writer: w}, time.Now())()
		_, _ = io.WriteString(w, strings.Repeat("a", 1500)) // into a buffer
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- true
		}
	}
	s.Start()
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	go func() {
		for {
			if _, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 100)); err != nil {
				return // the server, or the test, has closed the connection
			}
		}
	}()
	select {
	case <-closed:
	case <-time.After(3 * finalResponseTime):
		c.Error("the connection is still open")
	}
}
