package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/reachability"
)

const (
	// dialTimeout is many round trips inside a region. TCP resends a lost SYN only after a second; as nothing of the
	// request has been sent by then, another server can get it sooner.
	dialTimeout = 300 * time.Millisecond
	// maxIdlePerServer limits the idle connections to one server, which runs about as many requests at once.
	maxIdlePerServer = 12
	// maxRequestsPerConnection limits the memory for the history of a connection. One that has carried as many is closed.
	maxRequestsPerConnection = 512
)

// passedOver counts idle connections that were not used for a request because they had carried it before.
var passedOver = metrics.NewCounter("verbenad_server_connections_passed_over_total")

// keepAlive detects a server that is gone without having closed its connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Client sends requests to backend servers.
type Client struct {
	clock      clock.Clock
	dialer     Dialer
	onDraining func(directory.Server)
	// relays is nil if no other host may relay connections.
	relays RelayDialer
	paths  paths

	mu   sync.Mutex
	idle map[ids.BackendID][]*conn
}

// Dialer establishes connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a client.
type Option func(*Client)

// WithDialer sets how servers are connected to directly.
func WithDialer(d Dialer) Option { return func(c *Client) { c.dialer = d } }

// OnDraining sets a function that is called for each response, complete or not, in which a server says that it will
// stop soon.
func OnDraining(f func(directory.Server)) Option {
	return func(c *Client) { c.onDraining = f }
}

// NewClient returns a client without connections.
func NewClient(c clock.Clock, options ...Option) *Client {
	client := &Client{
		clock: c, idle: make(map[ids.BackendID][]*conn),
		dialer:     &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive},
		onDraining: func(directory.Server) {},
		paths:      paths{clock: c, tracker: reachability.NewTracker(), onCutOff: func(bool) {}},
	}
	for _, o := range options {
		o(client)
	}
	return client
}

// takeIdle returns an idle connection that can carry the request, or nil.
func (c *Client) takeIdle(id ids.BackendID, request ids.RequestID) *conn {
	now := c.clock.Now()
	bypassed := c.Bypassed(id)
	for {
		conn := c.removeIdle(id, request)
		if conn == nil {
			return nil
		}
		if conn.reusable(now) && (bypassed || !conn.relayed) {
			conn.reused = conn.carried
			return conn
		}
		_ = conn.Close() // idle, so nothing is lost
	}
}

// removeIdle removes the idle connection that was used last, among those that haven't carried the request. On such a connection the
// answer to an earlier send may arrive late, and nothing would tell it from the answer to this one.
func (c *Client) removeIdle(id ids.BackendID, request ids.RequestID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[id]
	for n, cn := range slices.Backward(list) {
		if !cn.requests.holds(request) {
			c.idle[id] = slices.Delete(list, n, n+1)
			return cn
		}
		passedOver.Inc()
	}
	return nil
}

// putIdle keeps a connection for the next request. statedTime is how long the server says that it keeps an idle
// connection, 0 if it says nothing.
func (c *Client) putIdle(id ids.BackendID, conn *conn, statedTime time.Duration) {
	conn.idleSince = c.clock.Now()
	conn.maxIdleTime = defaultIdleTime
	if statedTime > 0 {
		conn.maxIdleTime = statedTime - idleMargin
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[id]) >= maxIdlePerServer || conn.maxIdleTime <= 0 || conn.requests.count() >= maxRequestsPerConnection {
		_ = conn.Close() // idle, so nothing is lost
		return
	}
	c.idle[id] = append(c.idle[id], conn)
}

// CloseUnused closes idle connections that can't be reused, and all idle connections to servers that aren't listed.
func (c *Client) CloseUnused(known int, listed func(ids.BackendID) bool) {
	now := c.clock.Now()
	c.paths.mu.Lock()
	c.paths.tracker.SetServers(known, listed)
	c.paths.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.idle {
		kept := l[:0]
		for _, cn := range l {
			if listed(id) && cn.reusable(now) { // a stopping relay waits for the others to end
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close() // idle, so nothing is lost
		}
		if len(kept) == 0 {
			delete(c.idle, id)
			continue
		}
		c.idle[id] = kept
	}
}

// closeUnusedOver closes the idle connections over a relay, which may be frozen.
func (c *Client) closeUnusedOver(relay net.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.idle {
		kept := l[:0]
		for _, cn := range l {
			if !cn.relayed || cn.RemoteAddr().String() != relay.String() {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close() // idle, so nothing is lost
		}
		c.idle[id] = kept
	}
}
