package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
)

// TestLongHeadsOnReusedConnection checks that heads that exceed the read buffer are read whole, however they arrive, that their
// connection is used again, and that an idle connection doesn't keep their memory.
func TestLongHeadsOnReusedConnection(t *testing.T) {
	const requests = 4
	for _, step := range []int{37, readBufferSize, maxHeadBytes} {
		for _, fieldBytes := range []int{10, readBufferSize - 100, readBufferSize, 3*readBufferSize + 1, maxHeadBytes - 1000} {
			t.Run(fmt.Sprint(step, " ", fieldBytes), func(t *testing.T) {
				connections := make(chan int, requests)
				s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
					connections <- n
					for {
						_, id := readRequest(r)
						if id == nil {
							return
						}
						body := "answer to " + string(id)
						answer := fmt.Sprintf(
							"HTTP/1.1 103 X\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nLong: %s\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s",
							strings.Repeat("x", fieldBytes), id, len(body), body,
						)
						for len(answer) > 0 {
							n := min(step, len(answer))
							_, _ = io.WriteString(c, answer[:n]) // the client shows what is missing
							answer = answer[n:]
						}
					}
				})
				client := NewClient(clock.System{})
				for range requests {
					r := nextRequest(s)
					text, err := send(t, client, r)
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, text, qt.Equals, "answer to "+string(r.ID))
					qt.Assert(t, client.idle[s.ID][0].reader.Size(), qt.Equals, readBufferSize)
				}
				qt.Assert(t, connections, qt.HasLen, 1)
			})
		}
	}
}
