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
	answer := func(conn net.Conn, id string, limit int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: %d\r\nContent-Length: 0\r\n\r\n", id, limit) // a failed write is seen by the client
	}
	s := server(t, func(_ int, r *bufio.Reader, conn net.Conn) {
		for _, id := range []string{"x", "y"} {
			if line, _ := readRequest(r); line == "" {
				return
			}
			answer(conn, "x", 50)
			if id == "y" {
				answer(conn, "y", 5)
			}
		}
		_, _ = readRequest(r)
	})
	client := NewClient(clock.System{})
	var got []string
	for _, id := range []string{"x", "y"} {
		r := request(s, id, []byte(id))
		r.OnLimit = func(s limit.Statement, late bool) {
			got = append(got, fmt.Sprintf("%s %g late=%t", id, s.PerSecond, late))
		}
		response, err := client.Send(t.Context(), limitedServers{}, r)
		c.Assert(err, qt.IsNil)
		_, err = readBody(response)
		c.Assert(err, qt.IsNil)
		response.Close()
	}
	c.Check(got, qt.DeepEquals, []string{"x 50 late=false", "y 50 late=true", "y 5 late=false"})
}
