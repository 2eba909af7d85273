package entry

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
)

// bodyTestMemoryMB is the host's memory in these tests. Bodies get a quarter of it.
const bodyTestMemoryMB = 64

// bodyServer reads bodies and tells their lengths or the errors.
func bodyServer(c *qt.C) (address string, h *Handler) {
	h = New(nil, nil, nil, nil, nil, clock.System{}, bodyTestMemoryMB)
	configuration := catalog.New(1, nil, nil, nil, catalog.Limits{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req := &request{httpRequest: r, writer: w, start: time.Now(), deadline: time.Now().Add(time.Minute)}
		if err := h.readBody(req, configuration); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		n := len(req.body)
		h.releaseBody(req)
		_, _ = fmt.Fprintf(w, "%d", n) // the client may have left
	}))
	c.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), h
}

// sendUnfinished sends the head of a request and a part of its body.
func sendUnfinished(c *qt.C, address, framing string, body []byte) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(body)
	c.Check(err, qt.IsNil)
}

func checkBodyIsRead(c *qt.C, address string) {
	const size = 1 << 20
	response, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("b", size)))
	c.Assert(err, qt.IsNil)
	raw, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(string(raw), qt.Equals, fmt.Sprint(size))
}

// TestAnnouncedBodiesTakeNoMemory guards against clients that keep the memory for bodies from others by announcing bodies, or by
// chunks, that they don't send.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	c := qt.New(t)
	address, _ := bodyServer(c)
	for n := range 40 {
		framing, body := "Content-Length: 4000000", "b"
		if n%2 == 0 {
			framing, body = "Transfer-Encoding: chunked", "1\r\nb\r\n"
		}
		sendUnfinished(c, address, framing, []byte(body))
	}
	time.Sleep(100 * time.Millisecond) // the bodies are being read
	checkBodyIsRead(c, address)
}

// TestUnfinishedBodiesMakeRoom guards against clients that keep the memory for bodies from others by sending parts of bodies.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	c := qt.New(t)
	address, h := bodyServer(c)
	for range 40 {
		go sendUnfinished(c, address, "Content-Length: 4000000", bytes.Repeat([]byte{'b'}, 3<<20))
	}
	time.Sleep(time.Second) // the bodies are being read, and some are ended
	c.Check(h.memory.available.Load() >= 0, qt.IsTrue)
	checkBodyIsRead(c, address)
}

// TestStalledBodyMakesRoom guards against bodies that stall and keep connections from others until the deadlines of their requests.
func TestStalledBodyMakesRoom(t *testing.T) {
	c := qt.New(t)
	address, h := bodyServer(c)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	c.Assert(err, qt.IsNil)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Check(err, qt.IsNil)
		if err == nil {
			c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			_ = response.Body.Close() // the connection is closed
		}
	}()
	for ended := false; !ended; {
		h.EndSlowestBody()
		select {
		case <-answered:
			ended = true
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestEndlessFramingEnds guards against chunk extensions and trailers without end, which no limit of the body counts.
func TestEndlessFramingEnds(t *testing.T) {
	c := qt.New(t)
	address, h := bodyServer(c)
	for _, begin := range []string{"1;", "0\r\nTrailer: "} {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+begin)
		c.Assert(err, qt.IsNil)
		go func() {
			for {
				if _, err := conn.Write(bytes.Repeat([]byte{'e'}, 4<<10)); err != nil {
					return // the host has closed the connection
				}
			}
		}()
		_, err = conn.Read(make([]byte, 1))
		c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%q isn't answered", begin))
	}
	c.Assert(h.memory.available.Load(), qt.Equals, int64(bodyTestMemoryMB<<20/memoryBudgetDivisor))
}
