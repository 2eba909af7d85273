package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/callerguard"
)

// TestRunningHeadsLeaveRoom guards against requests whose heads keep ordinary callers out while they run: some with very many fields,
// or many with heads of 7 KB. The budgets are in proportion to those of a host of 112 MB.
func TestRunningHeadsLeaveRoom(t *testing.T) {
	var tiny, long strings.Builder
	for n := range 2300 {
		fmt.Fprintf(&tiny, "%x:v\r\n", n)
	}
	for n := range 25 {
		fmt.Fprintf(&long, "Field-%d: %s\r\n", n, strings.Repeat("v", 260))
	}
	for name, tc := range map[string]struct {
		fields        string
		running       int
		headBytesHost int
	}{
		"many fields": {tiny.String(), 15, 14 << 20},
		"7 KB":        {long.String(), 80, 14 << 20 / 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := serveGuarded(c, newGuard(callerguard.Budget{Connections: 1000, HeadBytes: int64(tc.headBytesHost)}))
			for range tc.running {
				conn := dialGuarded(c, l)
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n"+tc.fields+"\r\n")
				c.Assert(err, qt.IsNil)
				status, _ := readStatus(c, bufio.NewReader(conn))
				c.Assert(status, qt.Equals, http.StatusContinue)
			}
			conn := dialGuarded(c, l)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+long.String()+"\r\n")
			c.Assert(err, qt.IsNil)
			status, _ := readStatus(c, bufio.NewReader(conn))
			c.Assert(status, qt.Equals, http.StatusOK)
		})
	}
}
