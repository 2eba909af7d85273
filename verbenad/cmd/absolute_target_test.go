package cmd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

// TestFleetServesAbsoluteTargets guards against requests in absolute form that find no route. Servers get them in origin form, with path and
// query as the caller sent them, and calls on batch jobs are known in that form, too.
func TestFleetServesAbsoluteTargets(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 10_000)
	var mu sync.Mutex
	var targets []string
	for _, s := range f.servers {
		s.SetFault(func(r *http.Request) standin.ServerFault {
			mu.Lock()
			defer mu.Unlock()
			targets = append(targets, r.RequestURI)
			return standin.NoFault
		})
	}
	send := func(target string) int {
		conn, err := net.Dial("tcp", f.callerAddresses[0])
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		const head = "GET %s HTTP/1.1\r\nHost: host.example\r\n%s: absolute\r\nAuthorization: Bearer %s\r\n\r\n"
		_, err = fmt.Fprintf(conn, head, target, standin.HeaderRequestID, workspaceKey)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close() // the status is all that is judged
		return response.StatusCode
	}
	c.Check(send("http://host.example/app/%7Ex;y?q=a%20b&q"), qt.Equals, http.StatusOK)
	c.Check(send("http://host.example:80/app/x?"), qt.Equals, http.StatusOK)
	c.Check(send("http://host.example"), qt.Equals, http.StatusNotFound)
	c.Check(send("http://other.example/app/x"), qt.Equals, http.StatusNotFound)
	f.submitUntilAccepted("job", 2)
	f.awaitResults("job", 2)
	c.Check(send("http://host.example"+standin.JobPath("job", 0)), qt.Equals, http.StatusOK)
	mu.Lock()
	defer mu.Unlock()
	c.Check(targets[:2], qt.DeepEquals, []string{"/app/%7Ex;y?q=a%20b&q", "/app/x?"})
}
