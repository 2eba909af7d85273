package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
)

const (
	ownID   = "own"
	ownBody = "the answer to one's own question"
)

// fragments are what a server may send on a reused connection, in any order. Each begins like a response: other bytes
// can't be distinguished from a body's own.
var fragments = []string{
	responseText(ownID, ownBody),
	fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", ownID, len(ownBody), ownBody),
	fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", ownID, ownBody),
	responseText("other", "the answer to an earlier question"),
	"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nId: other\r\n\r\n",
	responseText(ownID, ownBody)[:40],
	fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\nthe answer", ownID, len(ownBody)),
}

// FuzzResponses checks that a request gets its own complete response or an error, and never counts as not executed,
// whatever other responses arrive on its reused connection: before, after, twice, cut off or late.
func FuzzResponses(f *testing.F) {
	for n := range fragments {
		f.Add([]byte{byte(n)})
		f.Add([]byte{byte(n), 0})
		f.Add([]byte{0, byte(n)})
		f.Add([]byte{2, byte(n)})
		f.Add([]byte{3, byte(n), 0})
	}
	f.Fuzz(func(t *testing.T, order []byte) {
		ours, theirs := net.Pipe()
		defer func() { _ = ours.Close() }()
		go func() {
			defer func() { _ = theirs.Close() }()
			_ = theirs.SetDeadline(time.Now().Add(time.Second)) // the client may have stopped reading
			if _, err := theirs.Read(make([]byte, 4096)); err != nil {
				return
			}
			for _, n := range order {
				if _, err := io.WriteString(theirs, fragments[int(n)%len(fragments)]); err != nil {
					return
				}
			}
		}()
		conn := newConn(ours)
		conn.reused = true
		conn.requests.add("other") // whose late answer is discarded
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		response, err := NewClient(clock.System{}).roundTrip(ctx, testProtocol{}, request(directory.Server{ID: "s"}, ownID, nil), conn)
		if err != nil {
			return
		}
		defer response.Close()
		qt.Assert(t, response.Info.NotExecuted, qt.IsFalse)
		body, err := readBody(response)
		if err != nil || response.HasEmbeddedResponse(body) || response.httpResponse.ContentLength < 0 && len(response.httpResponse.TransferEncoding) == 0 {
			return
		}
		qt.Assert(t, string(body), qt.Equals, ownBody)
	})
}
