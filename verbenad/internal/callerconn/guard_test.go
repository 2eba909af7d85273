package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/callerguard"
)

// testTime bounds what a test does with a connection.
const testTime = 10 * time.Second

// serveGuarded serves requests with their bodies as responses, over a listener with a guard.
func serveGuarded(c *qt.C, g *Guard) (l *Listener) {
	l = NewListener(listenLocal(c), WithGuard(g))
	s := &http.Server{ConnState: l.StateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the client left
		}
		_, _ = w.Write(append([]byte(r.URL.Path+" "), body...))
	})}
	go func() { _ = s.Serve(l) }() // returns after Close
	c.Cleanup(func() { _ = s.Close() })
	return l
}

func dialGuarded(c *qt.C, l *Listener) net.Conn {
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(testTime)), qt.IsNil)
	return conn
}

func testGuard() *Guard {
	return newGuard(callerguard.Budget{Connections: 100, HeadBytes: 1 << 20})
}

// readStatus returns the status of the next response, and its body.
func readStatus(c *qt.C, r *bufio.Reader) (status int, body string) {
	response, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	raw, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode, string(raw)
}

// TestGuardedRequestsArriveInAnyPieces guards against requests that are lost or joined wrongly when their bytes arrive in other
// pieces than heads and bodies: on kept connections, with and without waiting for the response, after bodies of each framing.
func TestGuardedRequestsArriveInAnyPieces(t *testing.T) {
	c := qt.New(t)
	l := serveGuarded(c, testGuard())
	const seeds = 60
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		conn := dialGuarded(c, l)
		r := bufio.NewReader(conn)
		var all strings.Builder
		const requests = 12
		want := make([]string, 0, requests)
		waits := seed%2 == 0
		for n := range requests {
			request, answer := randomRequest(random, n)
			want = append(want, answer)
			all.WriteString(request)
			if waits {
				sendInPieces(c, random, conn, request)
				status, body := readStatus(c, r)
				c.Assert(status, qt.Equals, http.StatusOK)
				c.Assert(body, qt.Equals, answer, qt.Commentf("seed %d", seed))
			}
		}
		if waits {
			continue
		}
		go sendInPieces(c, random, conn, all.String())
		for _, w := range want {
			status, body := readStatus(c, r)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Equals, w, qt.Commentf("seed %d", seed))
		}
	}
	c.Assert(l.Counts().Open() > 0, qt.IsTrue)
}

// randomRequest returns a request with a number, and its response.
func randomRequest(random *rand.Rand, n int) (request, answer string) {
	body := strings.Repeat("\r\n\r\nGET /other HTTP/1.1\r\n", random.IntN(300))
	fields := strings.Repeat("F: v\n", random.IntN(200)) + strings.Repeat("L: "+strings.Repeat("v", 700)+"\r\n", random.IntN(12))
	answer = fmt.Sprintf("/r%d ", n)
	head := fmt.Sprintf("POST /r%d HTTP/1.1\r\nHost: h\r\n%s", n, fields)
	switch random.IntN(4) {
	case 0:
		return strings.Replace(head, "POST", "GET", 1) + "\r\n", answer
	case 1:
		return head + "content-length: 0\r\n\r\n", answer
	case 2:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), answer + body
	}
	var chunks strings.Builder
	for rest := body; rest != ""; {
		size := 1 + random.IntN(len(rest))
		fmt.Fprintf(&chunks, "%X;name=value\r\n%s\r\n", size, rest[:size])
		rest = rest[size:]
	}
	return head + "transfer-encoding: chunked\r\n\r\n" + chunks.String() + "0\r\nTrailer: value\r\n\r\n", answer + body
}

func sendInPieces(c *qt.C, random *rand.Rand, conn net.Conn, s string) {
	for s != "" {
		n := min(len(s), 1+random.IntN(1+random.IntN(6000)))
		_, err := io.WriteString(conn, s[:n])
		c.Check(err, qt.IsNil)
		s = s[n:]
		if random.IntN(4) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// acceptGuarded returns an accepted connection and its client.
func acceptGuarded(c *qt.C, g *Guard) (conn *Conn, client net.Conn) {
	l := NewListener(listenLocal(c), WithGuard(g))
	client = dialGuarded(c, l)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	conn, ok := accepted.(*Conn)
	c.Assert(ok, qt.IsTrue)
	c.Cleanup(func() { _, _ = conn.Close(), l.Close() })
	return conn, client
}

// TestHeadIsHandedOverWhole guards against heads that are parsed while they arrive, and against a body or a further head that is
// read before its time.
func TestHeadIsHandedOverWhole(t *testing.T) {
	c := qt.New(t)
	conn, client := acceptGuarded(c, testGuard())
	const head = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n"
	go func() {
		for _, b := range []byte("\r\n" + head + "okGET / HTTP/1.1\r\n") {
			_, _ = client.Write([]byte{b})
			time.Sleep(time.Millisecond)
		}
	}()
	b := make([]byte, 4096)
	n, err := conn.Read(b)
	c.Assert(err, qt.IsNil)
	c.Assert(string(b[:n]), qt.Equals, head)
	read := ""
	for len(read) < 3 {
		n, err = conn.Read(b)
		c.Assert(err, qt.IsNil)
		read += string(b[:n])
	}
	c.Assert(read, qt.Equals, "okG")
}

// TestGuardRefusesHeads checks the answers to heads beyond the limits, and that heads just within them are served.
func TestGuardRefusesHeads(t *testing.T) {
	c := qt.New(t)
	g := testGuard()
	g.SetLimits(Limits{HeaderBytes: 2000, HeaderTimeout: 100 * time.Millisecond})
	l := serveGuarded(c, g)
	for _, s := range []struct {
		sent   string
		status int
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\nF: " + strings.Repeat("v", 1960) + "\r\n\r\n", http.StatusOK},
		{"GET / HTTP/1.1\r\nHost: h\r\nF: " + strings.Repeat("v", 2000+headerBytesMargin), http.StatusRequestHeaderFieldsTooLarge},
		{strings.Repeat("\r\n", 1000+headerBytesMargin/2) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"GET / HTTP/1.1\r\nHost: h\r\n", http.StatusRequestTimeout},
	} {
		conn := dialGuarded(c, l)
		_, err := io.WriteString(conn, s.sent)
		c.Assert(err, qt.IsNil)
		status, _ := readStatus(c, bufio.NewReader(conn))
		c.Check(status, qt.Equals, s.status, qt.Commentf("%.40q", s.sent))
	}
	g.SetLimits(Limits{HeaderBytes: 16 << 10})
	conn := dialGuarded(c, l)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nF: "+strings.Repeat("v", 15<<10)+"\r\n\r\n")
	c.Assert(err, qt.IsNil)
	status, _ := readStatus(c, bufio.NewReader(conn))
	c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("the limits of a new configuration"))
}

// TestIdleConnectionsStay guards against an idle time that is counted from the last head, and against a limit that ends requests.
func TestIdleConnectionsStay(t *testing.T) {
	c := qt.New(t)
	g := testGuard()
	l := NewListener(listenLocal(c), WithGuard(g))
	s := &http.Server{ConnState: l.StateChanged, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(headerTimeoutMargin + 300*time.Millisecond)
	})}
	go func() { _ = s.Serve(l) }() // returns after Close
	defer func() { _ = s.Close() }()
	g.SetLimits(Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	conn := dialGuarded(c, l)
	r := bufio.NewReader(conn)
	for range 2 {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Assert(err, qt.IsNil)
		status, _ := readStatus(c, r)
		c.Assert(status, qt.Equals, http.StatusOK)
		time.Sleep(idleTimeoutMargin / 2)
	}
	_, err := r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF, qt.Commentf("the connection ends once it was idle for too long"))
}

// TestCrowdLeavesRoomForCaller guards against silent clients and unfinished heads that keep a caller from being served.
func TestCrowdLeavesRoomForCaller(t *testing.T) {
	c := qt.New(t)
	l := serveGuarded(c, newGuard(callerguard.Budget{Connections: 20, HeadBytes: 64 << 10}))
	for n := range 100 {
		conn := dialGuarded(c, l)
		if n%2 == 0 {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nF: "+strings.Repeat("v", 8000)) // it may be closed already
		}
	}
	conn := dialGuarded(c, l)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	status, _ := readStatus(c, bufio.NewReader(conn))
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Check(l.Counts().Open() <= 20+maxOverdue, qt.IsTrue)
}

// TestGuardedDrainServesPipelinedRequest guards against a request that was read with the one before it and is lost as the host
// stops.
func TestGuardedDrainServesPipelinedRequest(t *testing.T) {
	c := qt.New(t)
	l := NewListener(listenLocal(c), WithGuard(testGuard()))
	s := &http.Server{ConnState: l.StateChanged, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { l.EndIdle() })}
	go func() { _ = s.Serve(l) }() // returns after Close
	defer func() { _ = s.Close() }()
	conn := dialGuarded(c, l)
	_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	c.Assert(err, qt.IsNil)
	r := bufio.NewReader(conn)
	for range 2 {
		status, _ := readStatus(c, r)
		c.Assert(status, qt.Equals, http.StatusOK)
	}
	_, err = r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// TestRunningRequestsMakeRoom guards against requests that never get their bodies and take all connections: the guard asks for room
// before the last one is taken, and never closes a connection with a request itself.
func TestRunningRequestsMakeRoom(t *testing.T) {
	c := qt.New(t)
	g := newGuard(callerguard.Budget{Connections: 16, HeadBytes: 1 << 20})
	asked := make(chan struct{}, 100)
	g.makeRoom = func() { asked <- struct{}{} }
	l := serveGuarded(c, g)
	const head = "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
	conns := make([]net.Conn, 0, 15)
	for range 15 {
		conn := dialGuarded(c, l)
		_, err := io.WriteString(conn, head)
		c.Assert(err, qt.IsNil)
		status, _ := readStatus(c, bufio.NewReader(conn)) // the request is in progress
		c.Assert(status, qt.Equals, http.StatusContinue)
		conns = append(conns, conn)
	}
	c.Assert(asked, qt.HasLen, 1)
	for _, conn := range conns {
		_, err := io.WriteString(conn, "b")
		c.Assert(err, qt.IsNil)
		status, body := readStatus(c, bufio.NewReader(conn))
		c.Assert(status, qt.Equals, http.StatusOK)
		c.Assert(body, qt.Equals, "/ b")
	}
}
