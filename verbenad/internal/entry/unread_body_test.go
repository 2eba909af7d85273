package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
)

// refusingServer refuses all requests but calls on jobs, which have the host "jobs".
func refusingServer(c *qt.C) (address string, h *Handler) {
	call := oneCall{call: bulk.Call{Op: bulk.EndJob, Job: "a"}}
	h = New(plainProtocol{}, call, &countingOwners{}, nil, nil, clock.System{}, 64)
	h.SetCatalog(catalog.New(1, []catalog.Route{{Name: "r", Host: "jobs", Kind: catalog.KindBatch}}, nil, nil, catalog.Limits{BodyBytes: 5}))
	s := httptest.NewServer(h)
	c.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), h
}

// TestRefusedBodyIsNotAwaited guards against connections that stay open for good, and never make room for others, since the body of
// their refused request isn't sent.
func TestRefusedBodyIsNotAwaited(t *testing.T) {
	for name, tc := range map[string]struct {
		head   string
		status int
	}{
		"unknown route": {"Host: h\r\nContent-Length: 10", http.StatusNotFound},
		"chunked":       {"Host: h\r\nTransfer-Encoding: chunked", http.StatusNotFound},
		"expects":       {"Host: h\r\nContent-Length: 10\r\nExpect: 100-continue", http.StatusNotFound},
		"call on a job": {"Host: jobs\r\nContent-Length: 10", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			address, _ := refusingServer(c)
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(3*unreadBodyTime)), qt.IsNil)
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\n"+tc.head+"\r\n\r\n")
			c.Assert(err, qt.IsNil)
			r := bufio.NewReader(conn)
			response, err := http.ReadResponse(r, nil)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, tc.status)
			_ = response.Body.Close() // the connection ends
			_, err = r.ReadByte()
			c.Check(err, qt.Equals, io.EOF)
		})
	}
}

// TestRefusedBodyMakesRoom guards against refused requests that keep their connections while others need them.
func TestRefusedBodyMakesRoom(t *testing.T) {
	c := qt.New(t)
	address, h := refusingServer(c)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	c.Assert(err, qt.IsNil)
	time.Sleep(700 * time.Millisecond) // the body counts as slow
	h.EndSlowestBody()
	c.Assert(conn.SetDeadline(time.Now().Add(unreadBodyTime/4)), qt.IsNil)
	raw, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(raw), qt.Matches, `(?s)HTTP/1.1 404 .*`)
}

// TestRefusalOfLongBodyArrivesWhole guards against a reset in place of the refusal, for a caller that sends its body before it reads.
func TestRefusalOfLongBodyArrivesWhole(t *testing.T) {
	c := qt.New(t)
	address, _ := refusingServer(c)
	for range 20 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n")
		c.Assert(err, qt.IsNil)
		for range 10 {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(conn, strings.Repeat("b", 20000))
			c.Assert(err, qt.IsNil)
		}
		raw, err := io.ReadAll(conn)
		c.Assert(err, qt.IsNil)
		c.Assert(string(raw), qt.Matches, `(?s)HTTP/1.1 404 .*`)
		c.Assert(conn.Close(), qt.IsNil)
	}
}
