package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/reachability"
	"verbenaledge.example/verbenad/internal/serverrelay"
)

var (
	brokenPaths = metrics.NewCounter("verbenad_server_paths_broken_total")
	// cutOffGauge is 1 while this host reaches no server directly.
	cutOffGauge = metrics.NewGauge("verbenad_host_cut_off", nil)
)

// paths guards what this host knows of its paths to servers, and logs its changes.
type paths struct {
	clock clock.Clock
	// onCutOff is called when this host is cut off from servers, and when it isn't any more.
	onCutOff func(cutOff bool)

	mu      sync.Mutex
	tracker *reachability.Tracker
	cutOff  bool
	// since is when cutOff last changed.
	since time.Time
}

// OnCutOff sets a function that is called when this host reaches no server directly any more, and when it does again. It must
// not block.
func OnCutOff(f func(cutOff bool)) Option { return func(c *Client) { c.paths.onCutOff = f } }

// plan returns how to connect to a server.
func (p *paths) plan(id ids.BackendID) reachability.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Plan(p.clock.Now(), id)
}

// recheckDue reports whether a direct connection to the server must be attempted to learn whether its path works again.
func (p *paths) recheckDue(id ids.BackendID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.RecheckDue(p.clock.Now(), id)
}

// received records that a server sent something on a direct connection.
func (p *paths) received(id ids.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Received(p.clock.Now(), id)
}

// publish reports a change of CutOff. The caller holds mu.
func (p *paths) publish(server ids.BackendID, cause string) {
	if p.cutOff == p.tracker.CutOff() {
		return
	}
	p.cutOff = !p.cutOff
	f := log.Fields{"last_server": server, "cause": cause, "broken_paths": p.tracker.BrokenPaths(p.clock.Now()), "cut_off": p.cutOff}
	if p.cutOff {
		cutOffGauge.Set(1)
		log.WithFields(f).Warn("this host reaches no server directly")
	} else {
		cutOffGauge.Set(0)
		f["cut_off_ms"] = p.clock.Now().Sub(p.since).Milliseconds()
		log.WithFields(f).Info("this host reaches servers directly again")
	}
	p.since = p.clock.Now()
	p.onCutOff(p.cutOff)
}

// Bypassed reports whether connections to a server go over another host at present.
func (c *Client) Bypassed(id ids.BackendID) bool {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	return c.paths.tracker.Bypassed(c.clock.Now(), id)
}

// ReachesOthers reports whether this host recently received data from another server directly.
func (c *Client) ReachesOthers(id ids.BackendID) bool {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	return c.paths.tracker.ReachesOthers(c.clock.Now(), id)
}

// recordConnected records that a direct connection was established.
func (c *Client) recordConnected(s directory.Server) {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	c.paths.tracker.Connected(c.clock.Now(), s.ID)
	c.paths.publish(s.ID, "connected")
}

func (c *Client) recordUnreachable(s directory.Server) {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	c.paths.tracker.Unreachable(c.clock.Now(), s.ID)
}

// recordBroken records that a server was reached over another host and not directly. Open direct connections that may be
// lost are closed unless they are in use.
func (c *Client) recordBroken(s directory.Server, cause error) {
	failure := reachability.Rejected
	if isTimeout(cause) {
		failure = reachability.Silent
	}
	c.paths.mu.Lock()
	now := c.clock.Now()
	known := c.paths.tracker.Bypassed(now, s.ID)
	c.paths.tracker.ReachedByRelay(now, s.ID, failure)
	c.paths.publish(s.ID, failure.String())
	c.paths.mu.Unlock()
	if known {
		return
	}
	brokenPaths.Inc()
	log.WithError(cause).WithFields(log.Fields{"server": s.ID, "address": s.Address, "failure": failure}).Info("server is reached only over another host")
	c.closeLost()
	if failure == reachability.Silent {
		c.checkOthers(s.ID)
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// watchPath checks the path to a server that leaves a request on a direct connection without an answer, until stop is called.
func (c *Client) watchPath(conn *conn, s directory.Server) (stop func()) {
	if conn.relayed || c.relays == nil {
		return func() {}
	}
	sentAt := c.clock.Now()
	timer := newRepeatingTimer(reachability.SilenceLimit(), func() {
		c.paths.mu.Lock()
		due := c.paths.tracker.CheckDue(c.clock.Now(), sentAt, s.ID)
		c.paths.mu.Unlock()
		if due {
			c.checkPath(s)
		}
	})
	return timer.stop
}

// checkPath connects to a server, to learn whether the direct path is broken.
func (c *Client) checkPath(s directory.Server) {
	conn, err := c.connect(context.Background(), s, reachability.CheckPlan())
	if err != nil {
		log.WithError(err).WithField("server", s.ID).Info("server that sends nothing is reached on no path")
		return
	}
	c.putIdle(s.ID, conn, 0)
}

// recheckPath connects directly to a server to which a connection over another host is open.
func (c *Client) recheckPath(s directory.Server) {
	n, err := c.DialDirect(context.Background(), s)
	if err != nil {
		c.recordBroken(s, err)
		return
	}
	c.putIdle(s.ID, c.newConn(n, s, false), 0)
}

// maxOtherChecks bounds the servers that are checked once the path to another one is broken.
const maxOtherChecks = 2

// checkOthers checks the paths to some servers to which direct connections are open.
func (c *Client) checkOthers(except ids.BackendID) {
	var others []directory.Server
	c.mu.Lock()
	for id, l := range c.idle {
		if id != except && len(others) < maxOtherChecks && len(l) > 0 && !l[0].relayed {
			others = append(others, l[0].server)
		}
	}
	c.mu.Unlock()
	for _, s := range others {
		if c.Bypassed(s.ID) {
			continue
		}
		go c.checkPath(s)
	}
}

// closeLost closes the idle direct connections that may be lost.
func (c *Client) closeLost() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	for id, l := range c.idle {
		if c.paths.tracker.KeepsOpenConnections(now, id) {
			continue
		}
		kept := l[:0]
		for _, cn := range l {
			if cn.relayed {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close() // idle, so nothing is lost
		}
		c.idle[id] = kept
	}
}

// PathFailed reports whether the path to a server, and not the server, is why an answer was broken off by an error, or given up
// by this host after a silence. It may take as long as a connection. relayed is set if the request was sent over another host.
func (c *Client) PathFailed(s directory.Server, relayed bool, err error) bool {
	silent := errors.Is(err, net.ErrClosed) // closed by this host, which had waited long enough
	switch {
	case errors.Is(err, serverrelay.ErrRelayLost):
		return true
	case relayed:
		return silent // the relay may be frozen
	case c.relays == nil || !silent && !ConnectionEnded(err):
		return false
	case c.Bypassed(s.ID):
		return !silent || !c.keepsOpenConnections(s.ID)
	}
	conn, err := c.connect(context.Background(), s, reachability.CheckPlan())
	if err != nil {
		return false // no host reaches the server
	}
	c.putIdle(s.ID, conn, 0)
	return conn.relayed
}

func (c *Client) keepsOpenConnections(id ids.BackendID) bool {
	c.paths.mu.Lock()
	defer c.paths.mu.Unlock()
	return c.paths.tracker.KeepsOpenConnections(c.clock.Now(), id)
}
