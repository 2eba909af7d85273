package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

type useKey struct{}

// TestUseCountsRequestsOfConnection checks that a request can tell whether it is the first one of its connection.
func TestUseCountsRequestsOfConnection(t *testing.T) {
	c := qt.New(t)
	l := NewListener(listenLocal(c))
	var uses []Use
	s := &http.Server{
		ConnState: l.StateChanged,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, useKey{}, conn)
		},
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			conn, ok := r.Context().Value(useKey{}).(*Conn)
			c.Check(ok, qt.IsTrue)
			uses = append(uses, conn.Use())
		}),
	}
	go func() { _ = s.Serve(l) }() // returns after Close
	defer func() { _ = s.Close() }()
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		response, err := client.Get("http://" + l.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	c.Assert(uses, qt.HasLen, 2)
	c.Assert([]int{uses[0].Requests, uses[1].Requests}, qt.DeepEquals, []int{1, 2})
	c.Assert(uses[0].OpenedAt, qt.Equals, uses[1].OpenedAt)
}
