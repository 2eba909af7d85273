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

// pieces are what a server may send on a connection that is used again, in any order. Bytes that are no beginning
// of an answer can't be told from a body's own.
var pieces = []string{
	answer(ownID, ownBody),
	fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", ownID, len(ownBody), ownBody),
	fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", ownID, ownBody),
	answer("other", "the answer to an earlier question"),
	"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nId: other\r\n\r\n",
	answer(ownID, ownBody)[:40],
	fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\nthe answer", ownID, len(ownBody)),
}

// FuzzAnswers: whatever else comes on its connection, before, after, twice, cut or late, a request gets its own
// whole answer or an error, and is never told that it was not run.
func FuzzAnswers(f *testing.F) {
	for n := range pieces {
		f.Add([]byte{byte(n)})
		f.Add([]byte{byte(n), 0})
		f.Add([]byte{0, byte(n)})
		f.Add([]byte{2, byte(n)})
	}
	f.Fuzz(func(t *testing.T, order []byte) {
		ours, theirs := net.Pipe()
		defer func() { _ = ours.Close() }()
		go func() {
			defer func() { _ = theirs.Close() }()
			_ = theirs.SetDeadline(time.Now().Add(time.Second)) // a reader that has gone
			if _, err := theirs.Read(make([]byte, 4096)); err != nil {
				return
			}
			for _, n := range order {
				if _, err := io.WriteString(theirs, pieces[int(n)%len(pieces)]); err != nil {
					return
				}
			}
		}()
		k := newConn(ours)
		k.reused = true
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a, err := NewClient(clock.System{}).exchange(ctx, plain{}, request(directory.Server{ID: "s"}, ownID, nil), k)
		if err != nil {
			return
		}
		defer a.Close()
		qt.Assert(t, a.Reply.NotExecuted, qt.IsFalse)
		body, err := io.ReadAll(a)
		if err != nil || a.HasEmbeddedResponse(body) || a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
			return
		}
		qt.Assert(t, string(body), qt.Equals, ownBody)
	})
}
