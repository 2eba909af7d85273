package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/refusal"
	client "verbenaledge.example/verbenad/internal/backend"
)

// TestLateRefusalTakenForThatOfNextRequest guards against a refusal or failure of an earlier request that arrives late on a reused
// connection and is taken for that of the next request, which runs.
func TestLateRefusalTakenForThatOfNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusUnprocessableEntity} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go serveWithLateAnswer(l, status)
			backendClient := client.NewClient(time.Second, time.Second)
			for _, id := range []ids.RequestID{"a.1", "b.1"} {
				resp, callErr := backendClient.Send(t.Context(), client.Request{
					Server: backend.Server{ID: "b", Address: l.Addr().String()}, ID: id, Method: http.MethodPost, Path: "/x", Header: http.Header{},
				})
				if callErr == nil {
					_, err := resp.ReadAll() // the connection is used again
					c.Assert(err, qt.IsNil)
					resp.Close()
				}
				if id == "b.1" {
					c.Assert(callErr, qt.IsNotNil)
					c.Check(callErr.Kind, qt.Equals, client.WrongRequestID)
					c.Check(callErr.Run(), qt.Equals, refusal.Unknown)
				}
			}
		})
	}
}

// serveWithLateAnswer answers the first request of one connection, and repeats that answer once the second one has arrived.
func serveWithLateAnswer(l net.Listener, status int) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for range 2 {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nX-Request-Id: a.1\r\nContent-Length: 0\r\n\r\n", status) // a failed write is seen by the client
	}
	_, _ = r.ReadByte() // until the client closes the connection
}
