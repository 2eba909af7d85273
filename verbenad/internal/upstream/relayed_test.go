package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
	"verbenaledge.example/verbenad/internal/serverrelay"
)

// cuttableDialer refuses connections while it is cut.
type cuttableDialer struct {
	net.Dialer
	cut atomic.Bool
}

func (d *cuttableDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cut.Load() {
		return nil, errors.New("refused")
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// relayServers are the servers that a relay reaches.
type relayServers struct {
	server directory.Server
	client *Client
	// dead is set if the server's machine is gone; dials counts the attempts to connect to it.
	dead  atomic.Bool
	dials atomic.Int64
}

func (s *relayServers) Listed(id ids.BackendID) (directory.Server, bool) {
	return s.server, id == s.server.ID
}
func (s *relayServers) Bypassed(ids.BackendID) bool { return false }

func (s *relayServers) ReachesOthers(id ids.BackendID) bool {
	return s.dead.Load() || s.client.ReachesOthers(id)
}

func (s *relayServers) DialDirect(ctx context.Context, server directory.Server) (net.Conn, error) {
	s.dials.Add(1)
	if s.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.client.DialDirect(ctx, server)
}

// noOwners is a map of no owners.
type noOwners struct{}

func (noOwners) IsOwner(string) bool               { return false }
func (noOwners) AsUpdate() (hostlink.Update, bool) { return hostlink.Update{}, false }

// startRelay starts a host that relays connections to a server, and returns a dialer that uses it.
func startRelay(t *testing.T, s directory.Server) (*serverrelay.Dialer, *serverrelay.Relay) {
	return startRelayOf(t, &relayServers{server: s, client: NewClient(clock.System{})})
}

func startRelayOf(t *testing.T, servers *relayServers) (*serverrelay.Dialer, *serverrelay.Relay) {
	address, relay := listenRelay(t, servers)
	return serverrelay.NewDialer(clock.System{}, func() []string { return []string{address} }), relay
}

// listenRelay starts such a host, and returns its address.
func listenRelay(t *testing.T, servers *relayServers) (address string, relay *serverrelay.Relay) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address = ln.Addr().String()
	qt.Assert(t, ln.Close(), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	relay = serverrelay.NewRelay(servers)
	go func() {
		ended <- hostlink.Listen(ctx, address, noOwners{}, func(l *hostlink.Link, _ hostlink.Frame) { l.Close() }, hostlink.WithServerRelay(relay))
	}()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return address, relay
}

// TestReusedRelayedConnectionsDontHideHealedPath guards against a host that goes on over another one long after its own path
// works again, as it reuses relayed connections and so needs no new one.
func TestReusedRelayedConnectionsDontHideHealedPath(t *testing.T) {
	c := qt.New(t)
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		for {
			line, body := readRequest(r)
			if line == "" {
				return
			}
			_, _ = io.WriteString(c, responseText(string(body), line))
		}
	})
	d := &cuttableDialer{}
	d.cut.Store(true)
	var cutOff atomic.Bool
	relays, _ := startRelay(t, s)
	client := NewClient(clock.System{}, WithDialer(d), WithRelays(relays), OnCutOff(func(is bool) { cutOff.Store(is) }))
	relayed := func() bool {
		response, err := client.Send(t.Context(), testProtocol{}, nextRequest(s))
		c.Assert(err, qt.IsNil)
		defer response.Close()
		_, err = readBody(response)
		c.Assert(err, qt.IsNil)
		return response.Relayed
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !cutOff.Load(); time.Sleep(20 * time.Millisecond) {
		_, _ = send(t, client, nextRequest(s)) // fails until the relay listens
	}
	c.Assert(relayed(), qt.IsTrue)
	for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.Assert(relayed(), qt.IsTrue) // a failed check leaves the host cut off
	}
	c.Assert(cutOff.Load(), qt.IsTrue)
	d.cut.Store(false)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && relayed(); {
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(relayed(), qt.IsFalse)
	c.Check(cutOff.Load(), qt.IsFalse)
}

// TestUnusedRelayedConnectionsDontDelayStop guards against a relay that waits, while it stops, for connections that carry nothing
// and that nobody will use again.
func TestUnusedRelayedConnectionsDontDelayStop(t *testing.T) {
	c := qt.New(t)
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, body := readRequest(r)
		_, _ = io.WriteString(c, responseText(string(body), "x"))
		_, _ = readRequest(r)
	})
	d := &cuttableDialer{}
	d.cut.Store(true)
	relays, relay := startRelay(t, s)
	client := NewClient(clock.System{}, WithDialer(d), WithRelays(relays))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := send(t, client, request(s, "a", []byte("a"))); err == nil {
			break
		}
	}
	c.Assert(relay.Connections(), qt.Equals, 1)
	stopped := make(chan struct{})
	start := time.Now()
	go func() {
		defer close(stopped)
		relay.Stop(start.Add(3 * time.Second))
	}()
	time.Sleep(100 * time.Millisecond)
	client.CloseUnused(1, func(ids.BackendID) bool { return true })
	<-stopped
	c.Check(time.Since(start) < 2*time.Second, qt.IsTrue)
}

// TestSilenceOfLostPathsIsNotTheServers guards against a host that counts its own silence against servers: requests that it gave
// up on open connections over a lost path, or over a relay, which may be frozen.
func TestSilenceOfLostPathsIsNotTheServers(t *testing.T) {
	c := qt.New(t)
	s := server(t, func(_ int, r *bufio.Reader, c net.Conn) {
		_, _ = readRequest(r)
		_, _ = r.ReadByte() // never answers
	})
	relays, _ := startRelay(t, s)
	client := NewClient(clock.System{}, WithRelays(relays))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client.Send(ctx, testProtocol{}, request(s, "a", []byte("a")))
	c.Assert(err, qt.IsNotNil)
	c.Check(client.PathFailed(s, false, err), qt.IsFalse)
	c.Check(client.PathFailed(s, true, err), qt.IsTrue)
	client.recordBroken(s, errors.New("refused"))
	c.Check(client.PathFailed(s, false, err), qt.IsFalse) // open connections go on
	client.recordConnected(s)
	client.recordBroken(s, errSilent)
	c.Check(client.PathFailed(s, false, err), qt.IsTrue)
	c.Check(client.PathFailed(s, false, ErrRequestIDMismatch), qt.IsFalse)
}

// silentDialer is the network to a machine that is gone.
type silentDialer struct{}

func (silentDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestDeadServerIsNotAskedForEachTime guards against hosts that have others connect, too, for each request to a server whose
// machine is gone.
func TestDeadServerIsNotAskedForEachTime(t *testing.T) {
	c := qt.New(t)
	s := directory.Server{ID: "s", Address: "127.0.0.1:1"}
	servers := &relayServers{server: s, client: NewClient(clock.System{})}
	servers.dead.Store(true)
	relays, _ := startRelayOf(t, servers)
	client := NewClient(clock.System{}, WithDialer(silentDialer{}), WithRelays(relays))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && servers.dials.Load() == 0; {
		_, err := send(t, client, request(s, "a", nil)) // the first ones may come before the relay listens
		c.Assert(err, qt.IsNotNil)
	}
	asked := servers.dials.Load()
	_, err := send(t, client, request(s, "b", nil))
	c.Assert(err, qt.IsNotNil)
	c.Check(servers.dials.Load(), qt.Equals, asked)
}

// TestDirectConnectionBeatsTimer guards against a path that counts as broken although it was connected, as this host was held up and
// found the connection and the end of its time at once.
func TestDirectConnectionBeatsTimer(t *testing.T) {
	c := qt.New(t)
	client := NewClient(clock.System{}, WithRelays(&serverrelay.Dialer{}))
	s := directory.Server{ID: "s"}
	for range 100 {
		ours, theirs := net.Pipe()
		defer func() { _, _ = ours.Close(), theirs.Close() }()
		direct := make(chan attempt, 1)
		direct <- attempt{conn: client.newConn(ours, s, false)}
		a := &connecting{client: client, server: s, direct: direct, directAt: time.Now().Add(-time.Second), cancelRelay: func() {}}
		a.settle()
		c.Assert(client.Bypassed(s.ID), qt.IsFalse)
	}
}
