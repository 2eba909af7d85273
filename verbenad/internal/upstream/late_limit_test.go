package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/limit"
)

// limitedServers is a protocol whose servers name limits.
type limitedServers struct{ testProtocol }

func (l limitedServers) ParseResponse(status int, h http.Header) exchange.ResponseInfo {
	info := l.testProtocol.ParseResponse(status, h)
	if n, err := strconv.Atoi(h.Get("Limit")); err == nil {
		info.Limit = limit.Statement{Kind: limit.Named, PerSecond: limit.RequestsPerSecond(n)}
	}
	return info
}

// TestLimitOfLateAnswer guards against a limit that a late answer to an earlier request names and that is taken for the newest one.
func TestLimitOfLateAnswer(t *testing.T) {
	c := qt.New(t)
	s := server(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		line, body := readRequest(r)
		for first := string(body); line != ""; line, _ = readRequest(r) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: 50\r\nContent-Length: 0\r\n\r\n", first) // a failed write is seen by the client
		}
	})
	client := NewClient(clock.System{})
	var got []string
	for _, id := range []string{"x", "y"} {
		r := request(s, id, []byte(id))
		r.OnLimit = func(s limit.Statement, late bool) {
			got = append(got, fmt.Sprintf("%s %g late=%t", id, s.PerSecond, late))
		}
		response, err := client.Send(t.Context(), limitedServers{}, r)
		if id == "y" {
			c.Assert(err, qt.ErrorIs, ErrRequestIDMismatch)
			continue
		}
		c.Assert(err, qt.IsNil)
		_, err = readBody(response)
		c.Assert(err, qt.IsNil)
		response.Close()
	}
	c.Check(got, qt.DeepEquals, []string{"x 50 late=false", "y 50 late=true"})
}
