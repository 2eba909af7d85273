// Package serverrelay relays connections to backend servers between hosts. A host that is cut off from servers reaches them
// over a relay, which connects to listed servers only and never over a further host.
package serverrelay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenad/internal/hostlink"
)

const (
	// maxConnections bounds the connections that one host relays. Each takes two file descriptors and some 40 kB.
	maxConnections = 256
	// dialTimeout is how long a relay tries to connect: it replies before the host that asked gives up.
	dialTimeout = 200 * time.Millisecond
	// stopPollInterval is the time between checks for connections that are still relayed.
	stopPollInterval = 20 * time.Millisecond
)

var (
	relayed  = metrics.NewCounter("verbenad_relayed_server_connections_total")
	rejected = metrics.NewCounter("verbenad_relayed_server_connections_rejected_total")
)

// Servers connects to servers for a relay.
type Servers interface {
	// Listed returns a server as the relay knows it.
	Listed(id ids.BackendID) (s directory.Server, ok bool)
	// Bypassed reports whether this host itself reaches the server only over another host.
	Bypassed(id ids.BackendID) bool
	// ReachesOthers reports whether this host recently received data from another server directly.
	ReachesOthers(id ids.BackendID) bool
	// DialDirect connects to a server directly.
	DialDirect(ctx context.Context, s directory.Server) (net.Conn, error)
}

// Relay connects to servers for hosts that don't reach them.
type Relay struct {
	servers Servers

	mu sync.Mutex
	// open counts the connections that are relayed or being established; pipes are the former.
	open     int
	pipes    map[*pipe]bool
	stopping bool
}

// NewRelay returns a relay without connections.
func NewRelay(s Servers) *Relay { return &Relay{servers: s, pipes: make(map[*pipe]bool)} }

// RelayServer serves the connection of a host that asks for a server.
func (r *Relay) RelayServer(ctx context.Context, c net.Conn, reader *bufio.Reader, request hostlink.ServerConnect) {
	defer func() { _ = c.Close() }() // all that is left to send has been sent
	server, outcome := r.connect(ctx, request)
	if server != nil {
		defer r.release()
	}
	if outcome != hostlink.ServerConnected {
		rejected.Inc()
		log.WithFields(log.Fields{"server": request.Server, "peer": c.RemoteAddr().String(), "outcome": outcome}).Info("server's connection not relayed")
	}
	reply := hostlink.Frame{ServerConnectReply: &hostlink.ServerConnectReply{Outcome: outcome}}
	err := hostlink.WriteFrame(c, reply)
	if server == nil {
		return // the other host tries the next relay if it doesn't get the reply
	}
	defer func() { _ = server.Close() }() // the server stops working for a host that has gone
	if err != nil {
		log.WithError(err).WithField("server", request.Server).Info("reply on a relayed connection not sent")
		return
	}
	p := &pipe{host: c, server: server}
	if stopping := r.add(p); stopping {
		p.announceStop() // the relay has begun to stop while it connected
	}
	defer r.remove(p)
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	relayed.Inc()
	p.run(reader)
}

// connect connects to a listed server.
func (r *Relay) connect(ctx context.Context, request hostlink.ServerConnect) (c net.Conn, outcome hostlink.ServerConnectOutcome) {
	if outcome := r.reserve(); outcome != hostlink.ServerConnected {
		return nil, outcome
	}
	defer func() {
		if c == nil {
			r.release()
		}
	}()
	s, listed := r.servers.Listed(request.Server)
	switch {
	case !listed || s.Address != request.Address:
		return nil, hostlink.ServerNotListed
	case r.servers.Bypassed(request.Server):
		return nil, hostlink.RelayCutOff
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := r.servers.DialDirect(ctx, s)
	if err == nil {
		return c, hostlink.ServerConnected
	}
	if !r.servers.ReachesOthers(request.Server) {
		return nil, hostlink.RelayCutOff // this host's own path may be broken
	}
	return nil, hostlink.ServerUnreachable
}

// reserve counts a connection that is to be established. It returns ServerConnected unless the relay accepts none.
func (r *Relay) reserve() hostlink.ServerConnectOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopping:
		return hostlink.RelayStopping
	case r.open >= maxConnections:
		return hostlink.RelayFull
	}
	r.open++
	return hostlink.ServerConnected
}

// release ends what reserve began.
func (r *Relay) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
}

// add adds a pipe. If the relay is stopping, Stop has announced that on those that were added before.
func (r *Relay) add(p *pipe) (stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pipes[p] = true
	return r.stopping
}

func (r *Relay) remove(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pipes, p)
}

// Connections returns how many connections are relayed or being established.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

// Stop rejects further connections, and asks the hosts to send no further request on those that are open. It returns once
// these have ended, at the latest at the given time.
func (r *Relay) Stop(end time.Time) {
	r.mu.Lock()
	r.stopping = true
	pipes := make([]*pipe, 0, len(r.pipes))
	for p := range r.pipes {
		pipes = append(pipes, p)
	}
	r.mu.Unlock()
	for _, p := range pipes {
		go p.announceStop()
	}
	for r.Connections() > 0 && time.Now().Before(end) {
		time.Sleep(stopPollInterval)
	}
	if n := r.Connections(); n > 0 {
		log.WithField("connections", n).Warn("stopped with relayed connections in use")
	}
}
