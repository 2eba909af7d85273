package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
)

// TestOwnCloseIsNotTheServers guards against a host that takes the close of a connection by itself, at the end of a request's
// context, for the end of the server's, which counts as a crash.
func TestOwnCloseIsNotTheServers(t *testing.T) {
	const length = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhalf"
	for name, sent := range map[string]string{
		"no answer": "", "part of a head": "HTTP/1.1 200 OK\r\nId", "length": length,
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", "unframed": "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf",
	} {
		for path, newClient := range map[string]func(s directory.Server) *Client{
			"direct": func(directory.Server) *Client { return NewClient(clock.System{}) },
			"relayed": func(s directory.Server) *Client {
				relays, _ := startRelay(t, s)
				d := &cuttableDialer{}
				d.cut.Store(true)
				return NewClient(clock.System{}, WithDialer(d), WithRelays(relays))
			},
		} {
			t.Run(name+", "+path, func(t *testing.T) {
				s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
					_, _ = readRequest(r)
					_, _ = io.WriteString(c, sent) // what is missing shows in the answer
					_, _ = r.ReadByte()
				})
				err := cutByContext(t, newClient(s), s)
				qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
				qt.Check(t, ConnectionEnded(err), qt.IsFalse)
			})
		}
	}
}

// cutByContext sends a request, and ends its context once the server has sent its part of an answer. It returns why the
// answer ended.
func cutByContext(t *testing.T, client *Client, s directory.Server) error {
	const answerTime = 50 * time.Millisecond
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(answerTime, cancel)
		response, err := client.Send(ctx, testProtocol{}, request(s, "a", []byte("a")))
		var failed *Error
		if errors.As(err, &failed) && !failed.Connected && time.Now().Before(end) {
			continue // the relay doesn't listen yet
		}
		if err != nil {
			return err
		}
		defer response.Close()
		_, err = readBody(response)
		return err
	}
}
