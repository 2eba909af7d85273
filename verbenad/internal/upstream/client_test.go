package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
)

// plain spells the least that a test needs.
type plain struct{ exchange.Protocol }

func (plain) Reply(_ int, h http.Header) exchange.Reply {
	return exchange.Reply{ID: ids.RequestID(h.Get("Id")), Signed: true, NotExecuted: h.Get("Not-Run") != ""}
}

// server answers each connection by a script.
func server(t *testing.T, serve func(n int, r *bufio.Reader, c net.Conn)) directory.Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, bufio.NewReader(c), c)
			}()
		}
	}()
	return directory.Server{ID: "s", Address: ln.Addr().String()}
}

func request(s directory.Server, id string, body []byte) Request {
	return Request{ID: ids.RequestID(id), Method: "POST", Target: "/p?q=%2F", Host: "h", Header: http.Header{}, Body: body, Server: s}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func read(r *bufio.Reader) (line string, body []byte) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", nil
	}
	body, _ = io.ReadAll(q.Body)
	return q.Method + " " + q.RequestURI + " " + q.Host, body
}

func send(t *testing.T, c *Client, q Request) (string, error) {
	a, err := c.Send(t.Context(), plain{}, q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	connections := make(chan int, 9)
	s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
		connections <- n
		for {
			line, body := read(r)
			if line == "" {
				return
			}
			_, _ = io.WriteString(c, answer(string(body), line))
		}
	})
	c := NewClient(clock.System{})
	for _, id := range []string{"a", "b", "c"} {
		got, err := send(t, c, request(s, id, []byte(id)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "POST /p?q=%2F h")
	}
	qt.Assert(t, connections, qt.HasLen, 1)
}

// TestExtraAnswer: bytes behind an answer belong to no request; the connection is not used again.
func TestExtraAnswer(t *testing.T) {
	connections := make(chan int, 9)
	s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
		connections <- n
		_, body := read(r)
		_, _ = io.WriteString(c, answer(string(body), "right")+answer("zzz", "wrong"))
		_, _ = read(r)
	})
	c := NewClient(clock.System{})
	for _, id := range []string{"a", "b"} {
		got, err := send(t, c, request(s, id, []byte(id)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "right")
	}
	qt.Assert(t, connections, qt.HasLen, 2)
}

// TestForeignAnswer: an answer with another id is not passed on, and the request may have run.
func TestForeignAnswer(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = read(r)
		_, _ = io.WriteString(c, answer("other", "x"))
	})
	_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	qt.Assert(t, errors.Is(err, ErrForeign), qt.IsTrue)
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Ran, qt.Equals, Unknown)
}

func TestUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := ln.Addr().String()
	qt.Assert(t, ln.Close(), qt.IsNil)
	_, err = send(t, NewClient(clock.System{}), request(directory.Server{ID: "s", Address: address}, "a", nil))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Ran, qt.Equals, NeverLeft)
	qt.Assert(t, e.Reached, qt.IsFalse)
}

// TestClosedWithoutAnswer: a request that left may have run.
func TestClosedWithoutAnswer(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, _ net.Conn) { _, _ = read(r) })
	_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Ran, qt.Equals, Unknown)
	qt.Assert(t, e.Reached, qt.IsTrue)
}

// TestCutAnswer: an answer that ends before its length is an error, as is a chunked one without its end.
func TestCutAnswer(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
			_, _ = read(r)
			_, _ = io.WriteString(c, raw)
		})
		_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
		qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
	})
	got, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "all of it")
}

// TestEarlyAnswer: a server answers before it has read a long body and reads on later. Where the rest
// of the body is due it gets the body's bytes or the end of the connection, never another request's.
func TestEarlyAnswer(t *testing.T) {
	body := []byte(strings.Repeat("0123456789", 1_000_000))
	rest := make(chan string, 1)
	s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
		if n == 0 {
			_, _ = readHeaders(r)
			_, _ = io.WriteString(c, answer("a", "early"))
			time.Sleep(50 * time.Millisecond)
			due := make([]byte, len(body))
			got, err := io.ReadFull(r, due)
			rest <- string(due[:got])
			if err != nil {
				return
			}
		}
		if line, _ := read(r); line != "" {
			_, _ = io.WriteString(c, answer("b", "second"))
		}
	})
	c := NewClient(clock.System{})
	got, err := send(t, c, request(s, "a", body))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "early")
	got, err = send(t, c, request(s, "b", nil))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "second")
	qt.Assert(t, strings.HasPrefix(string(body), <-rest), qt.IsTrue)
}

func readHeaders(r *bufio.Reader) (n int, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil || line == "\r\n" {
			return n, err
		}
		n++
	}
}

// TestCancelClosesConnection: a server learns of a caller that has left by the close of the connection.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := server(t, func(_ int, r *bufio.Reader, _ net.Conn) {
		_, _ = read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewClient(clock.System{}).Send(ctx, plain{}, request(s, "a", nil))
	qt.Assert(t, err, qt.IsNotNil)
	<-closed
}

// TestKeepAliveOfServer: a connection is not used beyond the time for which its server keeps it.
func TestKeepAliveOfServer(t *testing.T) {
	k := &conn{keepFor: 2*time.Second - keepMargin, reader: bufio.NewReader(strings.NewReader(""))}
	k.idleSince = time.Unix(100, 0)
	qt.Assert(t, k.fresh(time.Unix(101, 0)), qt.IsTrue)
	qt.Assert(t, k.fresh(time.Unix(102, 0)), qt.IsFalse)
}
