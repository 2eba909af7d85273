package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/http1"
)

// TestFaultyFraming checks which responses with HTTP/1.0 are accepted, however their heads arrive.
func TestFaultyFraming(t *testing.T) {
	for _, tc := range []struct {
		head  string
		err   error
		fails bool
		// stays is set if the connection stays open.
		stays bool
	}{
		{head: "HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", err: http1.ErrFaultyFraming},
		{head: "HTTP/1.0 200 OK\r\nId: a\r\ntransfer-encoding: x\r\nContent-Length: 4\r\n\r\n", err: http1.ErrFaultyFraming},
		{head: "HTTP/1.1 100 X\r\n\r\nHTTP/1.0 200 OK\nId: a\nTRANSFER-ENCODING:chunked\n\n", err: http1.ErrFaultyFraming},
		{head: "HTTP/1.0 200 OK\r\nId: a\r\nA: Transfer-Encoding: chunked\r\n\r\n"},
		{head: "HTTP/1.0 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\n"},
		{head: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\n"},
		{head: "HTTP/1.0 200 OK\r\nId: a\r\n", err: io.ErrUnexpectedEOF},
		{head: "HTTP", fails: true},
		{head: "x\r\n", fails: true, stays: true},
	} {
		for _, step := range []int{1, len(tc.head)} {
			s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
				_, _ = readRequest(r)
				for n := 0; n < len(tc.head); n += step {
					_, _ = io.WriteString(c, tc.head[n:min(n+step, len(tc.head))])
				}
				if tc.err == nil && !tc.fails {
					_, _ = io.WriteString(c, "body")
				}
				if tc.stays {
					time.Sleep(5 * time.Second) // what isn't a response is refused at once
				}
			})
			start := time.Now()
			body, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
			comment := qt.Commentf("%q", tc.head)
			qt.Check(t, time.Since(start) < 2*time.Second, qt.IsTrue, comment)
			if tc.fails || tc.err != nil {
				qt.Check(t, err, qt.IsNotNil, comment)
				qt.Check(t, tc.err == nil || errors.Is(err, tc.err), qt.IsTrue, qt.Commentf("%q: %v", tc.head, err))
				continue
			}
			qt.Check(t, err, qt.IsNil, comment)
			qt.Check(t, body, qt.Equals, "body", comment)
		}
	}
}
