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

func (plain) ParseResponse(_ int, h http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{ID: ids.RequestID(h.Get("Id")), Signed: true, NotExecuted: h.Get("Not-Run") != ""}
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

// TestLateRefusalWithoutID: on a connection that is used again, a refusal that names no request may be a late
// copy of an earlier one; only on a new connection does it say that the request was not run.
func TestLateRefusalWithoutID(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			line, body := read(r)
			if line == "" {
				return
			}
			if string(body) == "b" {
				_, _ = io.WriteString(c, refusal)
			}
			_, _ = io.WriteString(c, answer(string(body), line))
		}
	})
	c := NewClient(clock.System{})
	_, err := send(t, c, request(s, "a", []byte("a")))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Send(t.Context(), plain{}, request(s, "b", []byte("b")))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, e.Ran, qt.Equals, Unknown)
	a, err := NewClient(clock.System{}).Send(t.Context(), plain{}, request(s, "b", []byte("b")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Reply.NotExecuted, qt.IsTrue)
	a.Close()
}

// TestSplicedAnswer: in a body that ends with its connection, the copy of another answer is found.
func TestSplicedAnswer(t *testing.T) {
	for _, one := range []struct {
		body string
		want bool
	}{
		{"the line HTTP/1.1 200 OK of a log", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
		{"half" + answer("other", "x"), true},
		{"HTTP/1.1 HTTP/1.1 200 OK\r\nNot-Run: 1\r\n\r\n", true},
	} {
		for _, framing := range []string{"", "Content-Length: %d\r\n"} {
			s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
				_, _ = read(r)
				if framing != "" {
					framing = fmt.Sprintf(framing, len(one.body))
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n"+framing+"\r\n"+one.body)
			})
			a, err := NewClient(clock.System{}).Send(t.Context(), plain{}, request(s, "a", nil))
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(a)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, one.body)
			qt.Assert(t, a.HasEmbeddedResponse(body), qt.Equals, one.want && framing == "", qt.Commentf("%q", one.body))
			a.Close()
		}
	}
}

// TestEndlessHead: what has no end is read up to a limit, whatever it is, and the connection is closed.
func TestEndlessHead(t *testing.T) {
	for name, part := range map[string]string{
		"status line":     "x",
		"header":          "x",
		"headers":         "Name: value\r\n",
		"interim answers": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		begin := map[string]string{"header": "HTTP/1.1 200 OK\r\nName: ", "headers": "HTTP/1.1 200 OK\r\nId: a\r\n"}[name]
		took := make(chan int, 1)
		s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
			_, _ = read(r)
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, err := io.WriteString(c, begin)
			total := 0
			for err == nil && total < 64<<20 {
				var n int
				n, err = io.WriteString(c, strings.Repeat(part, 64))
				total += n
			}
			took <- total
		})
		_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
		qt.Check(t, errors.Is(err, ErrLongHead), qt.IsTrue, qt.Commentf("%s: %v", name, err))
		var e *Error
		qt.Assert(t, errors.As(err, &e), qt.IsTrue)
		qt.Check(t, e.Ran, qt.Equals, Unknown)
		qt.Check(t, <-took < 16<<20, qt.IsTrue, qt.Commentf("%s: the server was not stopped", name))
	}
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
	qt.Assert(t, e.Connected, qt.IsFalse)
}

// TestClosedWithoutAnswer: a request that left may have run.
func TestClosedWithoutAnswer(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, _ net.Conn) { _, _ = read(r) })
	_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Ran, qt.Equals, Unknown)
	qt.Assert(t, e.Connected, qt.IsTrue)
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
