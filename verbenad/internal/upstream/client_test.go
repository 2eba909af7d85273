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
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/completion"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
)

// testProtocol implements the part of exchange.Protocol that the tests need.
type testProtocol struct{ exchange.Protocol }

func (testProtocol) ParseResponse(_ int, h http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{ID: ids.RequestID(h.Get("Id")), Signed: true, NotExecuted: h.Get("Not-Run") != ""}
}

// server starts a server that runs a function for each connection.
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

// lastRequest is the number of the last request of nextRequest.
var lastRequest atomic.Int64

// nextRequest returns a request with an id that no other has, as a connection carries each request once.
func nextRequest(s directory.Server) Request {
	id := fmt.Sprintf("request-%d", lastRequest.Add(1))
	return request(s, id, []byte(id))
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func readRequest(r *bufio.Reader) (line string, body []byte) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", nil
	}
	body, _ = io.ReadAll(request.Body)
	return request.Method + " " + request.RequestURI + " " + request.Host, body
}

// readBody reads a body to its end. A body that is broken off returns an error.
func readBody(b completion.Body) (body []byte, err error) {
	part := make([]byte, 512)
	for {
		n, end := b.ReadBody(part)
		body = append(body, part[:n]...)
		switch end := end.(type) {
		case nil:
		case completion.Whole, completion.Claimed:
			return body, nil
		case completion.BrokenOff:
			return body, end.Err
		}
	}
}

func send(t *testing.T, c *Client, r Request) (string, error) {
	response, err := c.Send(t.Context(), testProtocol{}, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	b, err := readBody(response)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	connections := make(chan int, 9)
	s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
		connections <- n
		for {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			_, _ = io.WriteString(c, responseText(string(body), line))
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

// TestExtraResponse guards against taking bytes after a response for the response to the next request: the connection
// must not be reused.
func TestExtraResponse(t *testing.T) {
	connections := make(chan int, 9)
	s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
		connections <- n
		_, body := readRequest(r)
		_, _ = io.WriteString(c, responseText(string(body), "right")+responseText("zzz", "wrong"))
		_, _ = readRequest(r)
	})
	c := NewClient(clock.System{})
	for _, id := range []string{"a", "b"} {
		got, err := send(t, c, request(s, id, []byte(id)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "right")
	}
	qt.Assert(t, connections, qt.HasLen, 2)
}

// TestLateRefusalWithoutID guards against taking a late copy of an earlier refusal for one of this request: a refusal
// without a request id counts as "not executed" only on a new connection.
func TestLateRefusalWithoutID(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			if string(body) == "b" {
				_, _ = io.WriteString(c, refusal)
			}
			_, _ = io.WriteString(c, responseText(string(body), line))
		}
	})
	c := NewClient(clock.System{})
	_, err := send(t, c, request(s, "a", []byte("a")))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Send(t.Context(), testProtocol{}, request(s, "b", []byte("b")))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, e.Execution, qt.Equals, MaybeExecuted)
	response, err := NewClient(clock.System{}).Send(t.Context(), testProtocol{}, request(s, "b", []byte("b")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Info.NotExecuted, qt.IsTrue)
	response.Close()
}

// TestEmbeddedResponse checks that a copy of another response is detected in a body that ends with its connection.
func TestEmbeddedResponse(t *testing.T) {
	for _, tc := range []struct {
		body string
		want bool
	}{
		{"the line HTTP/1.1 200 OK of a log", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false},
		{"half" + responseText("other", "x"), true},
		{"HTTP/1.1 HTTP/1.1 200 OK\r\nNot-Run: 1\r\n\r\n", true},
	} {
		for _, framing := range []string{"", "Content-Length: %d\r\n"} {
			s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
				_, _ = readRequest(r)
				if framing != "" {
					framing = fmt.Sprintf(framing, len(tc.body))
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n"+framing+"\r\n"+tc.body)
			})
			response, err := NewClient(clock.System{}).Send(t.Context(), testProtocol{}, request(s, "a", nil))
			qt.Assert(t, err, qt.IsNil)
			body, err := readBody(response)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(body), qt.Equals, tc.body)
			qt.Assert(t, response.HasEmbeddedResponse(body), qt.Equals, tc.want && framing == "", qt.Commentf("%q", tc.body))
			response.Close()
		}
	}
}

// TestEndlessHead checks that a status line, a header, a list of headers or a series of interim responses without end
// is read up to the limit only, and that the connection is closed then.
func TestEndlessHead(t *testing.T) {
	for name, part := range map[string]string{
		"status line":       "x",
		"header":            "x",
		"headers":           "Name: value\r\n",
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		begin := map[string]string{"header": "HTTP/1.1 200 OK\r\nName: ", "headers": "HTTP/1.1 200 OK\r\nId: a\r\n"}[name]
		written := make(chan int, 1)
		s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
			_, _ = readRequest(r)
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, err := io.WriteString(c, begin)
			total := 0
			for err == nil && total < 64<<20 {
				var n int
				n, err = io.WriteString(c, strings.Repeat(part, 64))
				total += n
			}
			written <- total
		})
		_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
		qt.Check(t, errors.Is(err, ErrHeadTooLong), qt.IsTrue, qt.Commentf("%s: %v", name, err))
		var e *Error
		qt.Assert(t, errors.As(err, &e), qt.IsTrue)
		qt.Check(t, e.Execution, qt.Equals, MaybeExecuted)
		qt.Check(t, <-written < 16<<20, qt.IsTrue, qt.Commentf("%s: the server was not stopped", name))
	}
}

// TestRequestIDMismatch checks that a response with another id is not returned, and that the request counts as maybe
// executed.
func TestRequestIDMismatch(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("other", "x"))
	})
	_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	qt.Assert(t, errors.Is(err, ErrRequestIDMismatch), qt.IsTrue)
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Execution, qt.Equals, MaybeExecuted)
}

func TestUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := ln.Addr().String()
	qt.Assert(t, ln.Close(), qt.IsNil)
	_, err = send(t, NewClient(clock.System{}), request(directory.Server{ID: "s", Address: address}, "a", nil))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Execution, qt.Equals, NotSent)
	qt.Assert(t, e.Connected, qt.IsFalse)
}

// TestClosedWithoutResponse checks that a request counts as maybe executed if its connection closes without a response.
func TestClosedWithoutResponse(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, _ net.Conn) { _, _ = readRequest(r) })
	_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	var e *Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Execution, qt.Equals, MaybeExecuted)
	qt.Assert(t, e.Connected, qt.IsTrue)
}

// TestCutResponse checks that a response shorter than its length is an error, as is a chunked one without its last chunk.
func TestCutResponse(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
			_, _ = readRequest(r)
			_, _ = io.WriteString(c, raw)
		})
		_, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
		qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
	})
	got, err := send(t, NewClient(clock.System{}), request(s, "a", nil))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "all of it")
}

// TestEarlyResponse guards against a request that is sent in place of the unsent rest of the previous one's body: a
// server responds before it has read a long body and continues to read it later. It must get the body's bytes or the
// end of the connection.
func TestEarlyResponse(t *testing.T) {
	body := []byte(strings.Repeat("0123456789", 1_000_000))
	rest := make(chan string, 1)
	s := server(t, func(n int, r *bufio.Reader, c net.Conn) {
		if n == 0 {
			_, _ = readHeaders(r)
			_, _ = io.WriteString(c, responseText("a", "early"))
			time.Sleep(50 * time.Millisecond)
			unread := make([]byte, len(body))
			got, err := io.ReadFull(r, unread)
			rest <- string(unread[:got])
			if err != nil {
				return
			}
		}
		if line, _ := readRequest(r); line != "" {
			_, _ = io.WriteString(c, responseText("b", "second"))
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

// TestCancelClosesConnection checks that the connection closes when the caller disconnects, so that the server notices.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := server(t, func(_ int, r *bufio.Reader, _ net.Conn) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := NewClient(clock.System{}).Send(ctx, testProtocol{}, request(s, "a", nil))
	qt.Assert(t, err, qt.IsNotNil)
	<-closed
}

// TestKeepAliveOfServer checks that a connection is not reused after the time for which its server keeps it.
func TestKeepAliveOfServer(t *testing.T) {
	c := &conn{maxIdleTime: 2*time.Second - idleMargin, reader: bufio.NewReader(strings.NewReader(""))}
	c.idleSince = time.Unix(100, 0)
	qt.Assert(t, c.reusable(time.Unix(101, 0)), qt.IsTrue)
	qt.Assert(t, c.reusable(time.Unix(102, 0)), qt.IsFalse)
}
