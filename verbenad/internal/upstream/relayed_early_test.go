package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbenad/internal/serverrelay"
)

// earlyPartBytes is how much of a request the relay gets before the answer.
const earlyPartBytes = 8 << 10

// TestRelayedResetDuringUploadLooksComplete guards against an answer without a length that looks complete although its server
// reset the connection as the rest of the request came: the relay had answered for the part that it had by then, and the
// host had written the rest. The answer of a server that reads the rest stays whole.
func TestRelayedResetDuringUploadLooksComplete(t *testing.T) {
	for _, tc := range []struct {
		name        string
		uploadBytes int
		sound       bool
	}{
		{"long, reset", 1 << 20, false},
		{"long, read to the end", 1 << 20, true},
		{"in one write, reset", maxInlineBody, false},
		{"in one write, read to the end", maxInlineBody, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			written := make(chan struct{})
			s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
				q, err := http.ReadRequest(r)
				tcp, ok := c.(*net.TCPConn)
				if err != nil || !ok {
					return
				}
				_, _ = io.CopyN(io.Discard, q.Body, earlyPartBytes/2)
				<-written
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
				_ = tcp.CloseWrite()
				if tc.sound {
					_, _ = io.Copy(io.Discard, q.Body)
					return
				}
				_, _ = io.CopyN(io.Discard, q.Body, earlyPartBytes/2)
				_ = tcp.SetLinger(0)
			})
			relay, _ := listenRelay(t, &relayServers{server: s, client: NewClient(clock.System{})})
			path := holdingPath(t, relay, tc.uploadBytes, written)
			d := &cuttableDialer{}
			d.cut.Store(true)
			client := NewClient(clock.System{}, WithDialer(d), WithRelays(serverrelay.NewDialer(clock.System{}, func() []string { return []string{path} })))
			text, err := send(t, client, request(s, "a", make([]byte, tc.uploadBytes)))
			qt.Check(t, text, qt.Equals, "whole")
			if tc.sound {
				qt.Check(t, err, qt.IsNil)
			} else {
				qt.Check(t, err, qt.IsNotNil)
			}
		})
	}
}

// holdingPath is a path to a relay that takes all that a host writes, and passes on only a part until the host has closed its
// direction. It closes written once it has a whole upload.
func holdingPath(t *testing.T, relay string, uploadBytes int, written chan<- struct{}) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			host, err := ln.Accept()
			if err != nil {
				return
			}
			go hold(host, dialRelay(relay), uploadBytes, written)
		}
	}()
	return ln.Addr().String()
}

// dialRelay connects to a relay once it listens. It returns nil if it doesn't within 5 s.
func dialRelay(address string) net.Conn {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn
		}
	}
	return nil
}

func hold(host, relay net.Conn, uploadBytes int, written chan<- struct{}) {
	defer func() { _ = host.Close() }()
	toRelay, ok := relay.(*net.TCPConn)
	if !ok {
		return
	}
	defer func() { _ = relay.Close() }()
	go func() {
		var sent []byte
		buffer := make([]byte, 32<<10)
		for forwarded := 0; ; {
			n, err := host.Read(buffer)
			sent = append(sent, buffer[:n]...)
			if len(sent) >= uploadBytes && written != nil {
				close(written)
				written = nil
			}
			part := sent[forwarded:max(forwarded, min(len(sent), earlyPartBytes))]
			if err != nil {
				part = sent[forwarded:]
			}
			_, _ = toRelay.Write(part)
			forwarded += len(part)
			if err != nil {
				_ = toRelay.CloseWrite()
				return
			}
		}
	}()
	_, _ = io.Copy(host, relay)
}
