package callerconn

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnhandledBodyIsNotAwaited guards against connections that stay open for good, since net/http answers a request without a
// handler and waits for its body.
func TestUnhandledBodyIsNotAwaited(t *testing.T) {
	for _, begin := range []string{"OPTIONS * HTTP/1.1\r\n", "POST / HTTP/1.1\r\nExpect: other\r\n"} {
		t.Run(strings.Fields(begin)[0], func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := serveGuarded(c, testGuard())
			conn := dialGuarded(c, l)
			c.Assert(conn.SetDeadline(time.Now().Add(3*unhandledTime)), qt.IsNil)
			_, err := io.WriteString(conn, begin+"Host: h\r\nContent-Length: 10\r\n\r\n")
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(conn)
			c.Assert(err, qt.IsNil)
		})
	}
}

// TestUnreadAnswersEnd guards against connections that stay active for good, since their callers send requests and read no answers.
func TestUnreadAnswersEnd(t *testing.T) {
	c := qt.New(t)
	l := serveGuarded(c, testGuard())
	conn := dialGuarded(c, l)
	request := strings.Repeat("GET /"+strings.Repeat("p", 4000)+" HTTP/1.1\r\nHost: h\r\n\r\n", 20)
	for end := time.Now().Add(3 * unhandledTime); l.Counts().Open() > 0 || time.Until(end) > 5*unhandledTime/2; {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%+v", l.Counts()))
		_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // fails only on a closed connection
		_, _ = io.WriteString(conn, request)                              // until the host reads no more
	}
}
