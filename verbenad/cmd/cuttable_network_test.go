package cmd

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// cutMode is how a host is cut off from backend servers.
type cutMode int

const (
	// connected: the host reaches servers.
	connected cutMode = iota
	// silent: nothing arrives, connections hang.
	silent
	// reset: open connections are reset, new ones hang.
	reset
	// refused: open connections go on, new ones are refused.
	refused
)

// String returns the name of the subtest.
func (m cutMode) String() string { return [...]string{"connected", "silent", "reset", "refused"}[m] }

// cuttableNetwork is how one host connects to backend servers. After a silent cut, what was sent meanwhile arrives.
type cuttableNetwork struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*cuttableConn]bool
	// changed is closed and replaced when mode changes.
	changed chan struct{}
}

func newCuttableNetwork() *cuttableNetwork {
	return &cuttableNetwork{conns: make(map[*cuttableConn]bool), changed: make(chan struct{})}
}

// DialContext connects to a server.
func (n *cuttableNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	mode, _ := n.state()
	switch mode {
	case silent, reset:
		<-ctx.Done()
		return nil, ctx.Err()
	case refused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case connected:
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	connection := &cuttableConn{Conn: c, network: n, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[connection] = true
	return connection, nil
}

func (n *cuttableNetwork) state() (mode cutMode, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode, n.changed
}

// set changes the mode.
func (n *cuttableNetwork) set(mode cutMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = mode
	close(n.changed)
	n.changed = make(chan struct{})
	for c := range n.conns {
		switch mode {
		case reset:
			c.reset = true
			_ = c.SetDeadline(time.Now()) // pending calls return
		case connected:
			c.flush()
		case silent, refused:
		}
	}
}

// cuttableConn is a connection that its network may cut.
type cuttableConn struct {
	net.Conn
	network   *cuttableNetwork
	closeOnce sync.Once
	closed    chan struct{}
	// The network's mu guards these. unsent was written during a silent cut.
	unsent []byte
	reset  bool
}

func (c *cuttableConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	for {
		c.network.mu.Lock()
		mode, changed, wasReset := c.network.mode, c.network.changed, c.reset
		c.network.mu.Unlock()
		switch {
		case wasReset:
			return 0, syscall.ECONNRESET
		case mode != silent:
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

func (c *cuttableConn) Write(p []byte) (n int, err error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	switch {
	case c.reset:
		return 0, syscall.ECONNRESET
	case c.network.mode == silent:
		c.unsent = append(c.unsent, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// flush sends what a silent cut held back. The caller holds the network's mu.
func (c *cuttableConn) flush() {
	if len(c.unsent) > 0 {
		_, _ = c.Conn.Write(c.unsent) // as with any write, a server that is gone is seen by the next read
		c.unsent = nil
	}
}

// Close ends the connection. During a silent cut the server learns of it afterwards.
func (c *cuttableConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.SetReadDeadline(time.Now()) // a pending read returns
		go c.closeOnceConnected()
	})
	return nil
}

func (c *cuttableConn) closeOnceConnected() {
	for {
		c.network.mu.Lock()
		mode, changed := c.network.mode, c.network.changed
		if mode != silent {
			delete(c.network.conns, c)
			c.network.mu.Unlock()
			_ = c.Conn.Close() // the host has closed it
			return
		}
		c.network.mu.Unlock()
		<-changed
	}
}
