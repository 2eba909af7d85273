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
