package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
)

// TestLateResponseInRestOfBody guards against a late copy of an earlier response within the part of a body that is read
// after its buffered beginning. The copy arrives in parts, and the body's length cuts it off.
func TestLateResponseInRestOfBody(t *testing.T) {
	const length = 3 * embeddedTailBytes
	beginning, late := strings.Repeat("x", length-40), "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nlate copy"
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("a", "first"))
		_, _ = readRequest(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: %d\r\n\r\n%s", length, beginning)
		for n := 0; n < len(late); n += 7 {
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(c, late[n:min(n+7, len(late))])
		}
	})
	client := NewClient(clock.System{})
	_, err := send(t, client, request(s, "a", nil))
	qt.Assert(t, err, qt.IsNil)
	response, err := client.Send(t.Context(), testProtocol{}, request(s, "b", nil))
	qt.Assert(t, err, qt.IsNil)
	defer response.Close()
	buffered := make([]byte, length/3)
	for n := 0; n < len(buffered); {
		read, end := response.ReadBody(buffered[n:])
		qt.Assert(t, end, qt.IsNil)
		n += read
	}
	rest, err := readBody(response.Rest(buffered))
	qt.Assert(t, err, qt.ErrorIs, ErrRequestIDMismatch)
	qt.Assert(t, len(buffered)+len(rest) < length, qt.IsTrue)
}
