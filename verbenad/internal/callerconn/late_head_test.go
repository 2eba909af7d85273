package callerconn

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/callerguard"
)

// TestLateHeadIsServed guards against a request that is dropped although its whole head has arrived when its connection is to end:
// because the time is over, or to make room for another connection.
func TestLateHeadIsServed(t *testing.T) {
	timeOver := func(conn *Conn) {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		conn.awaitUntil(time.Now())
		conn.applyReadDeadline()
	}
	crowdOut := func(conn *Conn) {
		conn.reader.guard.open(callerguard.NewMember(func(callerguard.Reason) {}))
	}
	for name, tc := range map[string]struct {
		end   func(*Conn)
		begun int
		whole bool
	}{
		"idle too long":         {timeOver, 0, true},
		"head too slow":         {timeOver, 20, true},
		"crowded out":           {crowdOut, 0, true},
		"head crowded out":      {crowdOut, 20, true},
		"part, too slow":        {timeOver, 20, false},
		"part, crowded out":     {crowdOut, 0, false},
		"part of head crowded ": {crowdOut, 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := newGuard(callerguard.Budget{Connections: 1, HeadBytes: 1 << 20})
			conn, client := acceptGuarded(c, g)
			head := "GET / HTTP/1.1\r\nHost: h\r\nF: " + strings.Repeat("v", 7000) + "\r\n\r\n"
			sent := head
			if !tc.whole {
				sent = head[:5000]
			}
			if tc.begun > 0 {
				write(c, client, sent[:tc.begun])
				b := make([]byte, tc.begun)
				n, err := conn.readArriving(b)
				c.Assert(err, qt.IsNil)
				conn.reader.pending = append(conn.reader.pending, b[:n]...)
				g.headBegins(conn.reader.member)
			}
			write(c, client, sent[tc.begun:])
			time.Sleep(busyTime) // it arrives
			tc.end(conn)
			want := ""
			if tc.whole {
				want = head
			}
			var got strings.Builder
			for b := make([]byte, 4<<10); got.Len() < len(head); {
				n, err := conn.Read(b)
				if err != nil {
					break
				}
				got.Write(b[:n])
			}
			c.Check(got.String(), qt.Equals, want)
		})
	}
}

func write(c *qt.C, conn net.Conn, s string) {
	_, err := io.WriteString(conn, s)
	c.Assert(err, qt.IsNil)
}
