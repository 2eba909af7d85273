package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// dialTimeout is many round trips inside a region. A lost opening packet is sent again only after a second; nothing
	// of the request has left by then, so another server may have it sooner.
	dialTimeout = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one server; a server runs about as many requests at once.
	maxIdle = 12
)

// keepAlive finds a peer that is gone without a word.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Client sends requests to backend servers.
type Client struct {
	clock  clock.Clock
	dialer net.Dialer
	// onDraining is called for each answer in which a server says that it stops soon.
	onDraining func(directory.Server)

	mu   sync.Mutex
	idle map[ids.BackendID][]*conn
}

// Option changes a client.
type Option func(*Client)

// OnDraining calls a function for each answer, whole or not, in which a server says that it stops soon.
func OnDraining(f func(directory.Server)) Option {
	return func(c *Client) { c.onDraining = f }
}

// NewClient returns a client without connections.
func NewClient(c clock.Clock, options ...Option) *Client {
	k := &Client{
		clock: c, idle: make(map[ids.BackendID][]*conn),
		dialer:     net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive},
		onDraining: func(directory.Server) {},
	}
	for _, o := range options {
		o(k)
	}
	return k
}

// take returns an idle connection that can be used, or nil.
func (c *Client) take(id ids.BackendID) *conn {
	now := c.clock.Now()
	for {
		c.mu.Lock()
		list := c.idle[id]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := list[len(list)-1]
		c.idle[id] = list[:len(list)-1]
		c.mu.Unlock()
		if k.fresh(now) {
			k.reused = true
			return k
		}
		_ = k.Close() // nothing is on its way on it
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	n, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(n), nil
}

// put keeps a connection for the next request.
func (c *Client) put(id ids.BackendID, k *conn, keepFor time.Duration) {
	k.idleSince = c.clock.Now()
	k.keepFor = usualKeep
	if keepFor > 0 {
		k.keepFor = keepFor - keepMargin
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[id]) >= maxIdle || k.keepFor <= 0 {
		_ = k.Close() // idle, so nothing is lost
		return
	}
	c.idle[id] = append(c.idle[id], k)
}

// Sweep closes idle connections whose time is over, and all to servers that are not listed.
func (c *Client) Sweep(listed func(ids.BackendID) bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if listed(id) && now.Sub(k.idleSince) < k.keepFor {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // idle, so nothing is lost
		}
		if len(kept) == 0 {
			delete(c.idle, id)
			continue
		}
		c.idle[id] = kept
	}
}
