package serverrelay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// testServers are the servers that a relay knows.
type testServers struct {
	listed   directory.Server
	bypassed bool
	// reachesOthers is set if the relay receives data from other servers.
	reachesOthers bool
	dialErr       error
	// onDial is called before each connection, unless it is nil.
	onDial func()
}

func (s *testServers) Listed(id ids.BackendID) (directory.Server, bool) {
	return s.listed, id == s.listed.ID
}
func (s *testServers) Bypassed(ids.BackendID) bool      { return s.bypassed }
func (s *testServers) ReachesOthers(ids.BackendID) bool { return s.reachesOthers }
func (s *testServers) DialDirect(ctx context.Context, server directory.Server) (net.Conn, error) {
	if s.onDial != nil {
		s.onDial()
	}
	if s.dialErr != nil {
		return nil, s.dialErr
	}
	var d net.Dialer
	return d.DialContext(context.WithoutCancel(ctx), "tcp", server.Address) // onDial may have taken longer than ctx lasts
}

// noOwners is a map of no owners.
type noOwners struct{}

func (noOwners) IsOwner(string) bool               { return false }
func (noOwners) AsUpdate() (hostlink.Update, bool) { return hostlink.Update{}, false }

// startServer starts a server that runs a function for each connection.
func startServer(t *testing.T, serve func(c *net.TCPConn)) directory.Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			tcp, _ := c.(*net.TCPConn)
			go serve(tcp)
		}
	}()
	return directory.Server{ID: "s", Address: ln.Addr().String()}
}

// startRelay starts a relay, and returns its address and what ends it.
func startRelay(t *testing.T, r *Relay) (address string, end context.CancelFunc) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address = ln.Addr().String()
	qt.Assert(t, ln.Close(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- hostlink.Listen(ctx, address, noOwners{}, func(l *hostlink.Link, _ hostlink.Frame) { l.Close() }, hostlink.WithServerRelay(r))
	}()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close() // it only shows that the relay listens
			return address, cancel
		}
	}
	t.Fatal("the relay doesn't listen")
	return "", nil
}

func dialer(addresses ...string) *Dialer {
	return NewDialer(clock.System{}, func() []string { return addresses })
}

// TestRelayedConnectionEndsAsTheServersDoes guards against an end of the relay, or a reset of the server, that looks like an
// orderly end of the server's connection.
func TestRelayedConnectionEndsAsTheServersDoes(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(c *net.TCPConn, endRelay context.CancelFunc)
		want error
	}{
		{"orderly end", func(c *net.TCPConn, _ context.CancelFunc) { _ = c.Close() }, io.EOF},
		{"reset", func(c *net.TCPConn, _ context.CancelFunc) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, syscall.ECONNRESET},
		{"orderly end of one direction, then a reset", func(c *net.TCPConn, _ context.CancelFunc) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
			_ = c.Close()
		}, syscall.ECONNRESET},
		{"end of the relay", func(_ *net.TCPConn, endRelay context.CancelFunc) { endRelay() }, ErrRelayLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			accepted := make(chan *net.TCPConn, 1)
			s := startServer(t, func(c *net.TCPConn) { accepted <- c })
			address, endRelay := startRelay(t, NewRelay(&testServers{listed: s}))
			conn, err := dialer(address).DialServer(t.Context(), s)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			server := <-accepted
			_, err = conn.Write([]byte("request"))
			c.Assert(err, qt.IsNil)
			request := make([]byte, 7)
			_, err = io.ReadFull(server, request)
			c.Assert(err, qt.IsNil)
			_, err = server.Write([]byte("answer"))
			c.Assert(err, qt.IsNil)
			answer := make([]byte, 6)
			_, err = io.ReadFull(conn, answer)
			c.Assert(err, qt.IsNil)
			c.Check(string(answer), qt.Equals, "answer")
			c.Check(conn.Reusable(), qt.IsTrue)
			test.end(server, endRelay)
			n, err := conn.Read(answer)
			c.Check(n, qt.Equals, 0)
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(errors.Is(err, io.EOF), qt.Equals, errors.Is(test.want, io.EOF))
			c.Check(conn.Reusable(), qt.IsFalse)
		})
	}
}

// TestRelayClosesServersConnectionWithTheHosts guards against a server that works on for a host that has given up.
func TestRelayClosesServersConnectionWithTheHosts(t *testing.T) {
	ended := make(chan error, 1)
	s := startServer(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	address, _ := startRelay(t, NewRelay(&testServers{listed: s}))
	conn, err := dialer(address).DialServer(t.Context(), s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.Close(), qt.IsNil)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the server's connection is open")
	}
}

// TestRelayRejects checks for which servers, and in which state, a host doesn't relay.
func TestRelayRejects(t *testing.T) {
	s := startServer(t, func(c *net.TCPConn) { _ = c.Close() })
	other := directory.Server{ID: s.ID, Address: "127.0.0.1:9"}
	for _, test := range []struct {
		name    string
		servers *testServers
		server  directory.Server
		want    error
	}{
		{"another address than that of the listed server", &testServers{listed: s}, other, ErrNoRelay},
		{"a server that isn't listed", &testServers{listed: s}, directory.Server{ID: "t", Address: s.Address}, ErrNoRelay},
		{"a host that is cut off itself", &testServers{listed: s, bypassed: true}, s, ErrNoRelay},
		{"a silent path of its own", &testServers{listed: s, dialErr: context.DeadlineExceeded}, s, ErrNoRelay},
		{"a path of its own that is reset", &testServers{listed: s, dialErr: syscall.ECONNRESET}, s, ErrNoRelay},
		{"a server that refuses", &testServers{listed: s, dialErr: syscall.ECONNREFUSED, reachesOthers: true}, s, ErrServerUnreachable},
		{"a server that is silent", &testServers{listed: s, dialErr: context.DeadlineExceeded, reachesOthers: true}, s, ErrServerUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, _ := startRelay(t, NewRelay(test.servers))
			_, err := dialer(address).DialServer(t.Context(), test.server)
			qt.Assert(t, err, qt.ErrorIs, test.want)
		})
	}
}

// TestDialerTriesNextRelay guards against a host that fails with the first relay that is gone, cut off itself or silent.
func TestDialerTriesNextRelay(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	silent := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	cutOff, _ := startRelay(t, NewRelay(&testServers{listed: s, bypassed: true}))
	sound, _ := startRelay(t, NewRelay(&testServers{listed: s}))
	d := dialer("127.0.0.1:9", silent.Address, cutOff, sound)
	for range 4 {
		start := time.Now()
		conn, err := d.DialServer(t.Context(), s)
		c.Assert(err, qt.IsNil)
		c.Check(time.Since(start) < 3*nextRelayDelay, qt.IsTrue)
		c.Check(conn.Close(), qt.IsNil)
	}
}

// TestStoppingRelayFinishesRequests guards against a planned stop that cuts requests of other hosts, and against requests that
// are sent over a host that stops.
func TestStoppingRelayFinishesRequests(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, func(c *net.TCPConn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, line)
		}
	})
	r := NewRelay(&testServers{listed: s})
	address, _ := startRelay(t, r)
	conn, err := dialer(address).DialServer(t.Context(), s)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "request\n")
	c.Assert(err, qt.IsNil)
	stopped := make(chan time.Time, 1)
	go func() {
		r.Stop(time.Now().Add(5 * time.Second))
		stopped <- time.Now()
	}()
	line, err := bufio.NewReader(conn).ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Check(line, qt.Equals, "request\n")
	c.Check(conn.Reusable(), qt.IsFalse)
	_, err = dialer(address).DialServer(t.Context(), s)
	c.Check(err, qt.ErrorIs, ErrNoRelay)
	closedAt := time.Now()
	c.Assert(conn.Close(), qt.IsNil)
	c.Check((<-stopped).After(closedAt), qt.IsTrue)
	c.Check(r.Connections(), qt.Equals, 0)
}

// TestStoppingRelayKeepsWhatItAccepted guards against a relay that reports a connection as established and drops it, as it
// began to stop while it connected: the request sent on it might have run.
func TestStoppingRelayKeepsWhatItAccepted(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	servers := &testServers{listed: s}
	r := NewRelay(servers)
	stopped := make(chan time.Time, 1)
	servers.onDial = func() {
		go func() {
			r.Stop(time.Now().Add(5 * time.Second))
			stopped <- time.Now()
		}()
		time.Sleep(50 * time.Millisecond)
	}
	address, _ := startRelay(t, r)
	conn, err := dialer(address).DialServer(t.Context(), s)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "request\n")
	c.Assert(err, qt.IsNil)
	line, err := bufio.NewReader(conn).ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Check(line, qt.Equals, "request\n")
	c.Check(conn.Reusable(), qt.IsFalse)
	closedAt := time.Now()
	c.Assert(conn.Close(), qt.IsNil)
	c.Check((<-stopped).After(closedAt), qt.IsTrue)
}

// TestRelayBoundsConnections guards against more connections than a relay may have, if many hosts ask for one at once.
func TestRelayBoundsConnections(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	const asked = maxConnections + 8
	var dials atomic.Int64
	allAsked := make(chan struct{})
	r := NewRelay(&testServers{listed: s, onDial: func() {
		if dials.Add(1) == maxConnections {
			close(allAsked)
		}
		<-allAsked
	}})
	address, _ := startRelay(t, r)
	ended := make(chan attempt, asked)
	for range asked {
		go func() {
			conn, err := connect(t.Context(), address, s)
			ended <- attempt{conn: conn, err: err}
		}()
	}
	open := 0
	for range asked {
		if a := <-ended; a.conn != nil {
			open++
			defer func() { _ = a.conn.Close() }()
		}
	}
	c.Check(open, qt.Equals, maxConnections)
}

// TestRelayTellsDeadServers guards against hosts that ask all relays at each connection to a server that lost its machine, as
// relays that hear other servers don't say that this one is unreachable.
func TestRelayTellsDeadServers(t *testing.T) {
	c := qt.New(t)
	servers := &testServers{listed: directory.Server{ID: "s", Address: "127.0.0.1:1"}, dialErr: context.DeadlineExceeded, reachesOthers: true}
	address, _ := startRelay(t, NewRelay(servers))
	_, err := dialer(address).DialServer(t.Context(), servers.listed)
	c.Check(err, qt.ErrorIs, ErrServerUnreachable)
	cutOff := &testServers{listed: servers.listed, dialErr: context.DeadlineExceeded}
	address, _ = startRelay(t, NewRelay(cutOff))
	_, err = dialer(address).DialServer(t.Context(), servers.listed)
	c.Check(err, qt.ErrorIs, ErrNoRelay)
}

// TestInvalidChunks guards against bytes that no relay sends: they end the connection and never look like the server's.
func TestInvalidChunks(t *testing.T) {
	for _, raw := range []string{"\x00\x00\x00", "\x09\x00\x00", "\x01\x00\x00", "\x01\xff\xff", "\x02\x00\x01x", "\x01\x00"} {
		ours, theirs := net.Pipe()
		go func() {
			_, _ = io.WriteString(theirs, raw)
			_ = theirs.Close()
		}()
		conn := newConn(ours, bufio.NewReader(ours))
		_, err := conn.Read(make([]byte, 9))
		qt.Check(t, err, qt.ErrorIs, ErrRelayLost, qt.Commentf("%q", raw))
	}
}
