package hostlink

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
)

// replyTimeout is how long a reply may take in addition to the wait that the call allows: some writes to a slow store.
const replyTimeout = 900 * time.Millisecond

// RPCClient calls hosts about batch jobs, over one connection to each host.
type RPCClient struct {
	host   ids.HostID
	relays func() []string

	mu    sync.Mutex
	conns map[string]*peerConn
}

// peerConn is a connection to a host, with the calls that wait for replies.
type peerConn struct {
	link           *Link
	framesReceived uint64
	lastCallID     uint64
	replies        map[uint64]chan bulk.Reply
}

// NewRPCClient returns a client without connections. relays returns the addresses of hosts that may relay connections.
func NewRPCClient(host ids.HostID, relays func() []string) *RPCClient {
	return &RPCClient{host: host, relays: relays, conns: make(map[string]*peerConn)}
}

// Call calls the host at an address. ErrNoReply means that the call was sent and may have taken effect; any other
// error means that it was not sent.
func (c *RPCClient) Call(ctx context.Context, address string, call JobsCall) (r bulk.Reply, err error) {
	p, err := c.connect(ctx, address)
	if err != nil {
		return r, err
	}
	c.mu.Lock()
	p.lastCallID++
	id, reply := p.lastCallID, make(chan bulk.Reply, 1)
	p.replies[id] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(p.replies, id)
		c.mu.Unlock()
	}()
	if err := p.link.Send(Frame{CallID: id, Jobs: &call}); err != nil {
		return r, err
	}
	t := time.NewTimer(max(call.Call.Wait, 0) + replyTimeout)
	defer t.Stop()
	return c.awaitReply(ctx, p, reply, t.C)
}

// awaitReply waits for the reply to a call that was sent, until the link, the context or the given time ends.
func (c *RPCClient) awaitReply(ctx context.Context, p *peerConn, reply <-chan bulk.Reply, timeout <-chan time.Time) (r bulk.Reply, err error) {
	select {
	case r = <-reply:
		return r, nil
	case <-p.link.Closed():
	case <-ctx.Done():
	case <-timeout:
		go c.probe(p)
	}
	select {
	case r = <-reply: // both were ready
		return r, nil
	default:
		return r, ErrNoReply
	}
}

// probe closes a connection on which not even a ping is answered: the network may be cut.
func (c *RPCClient) probe(p *peerConn) {
	c.mu.Lock()
	before := p.framesReceived
	c.mu.Unlock()
	if p.link.Send(Frame{Ping: true}) != nil {
		return
	}
	select {
	case <-p.link.Closed():
		return
	case <-time.After(confirmTimeout):
	}
	c.mu.Lock()
	silent := p.framesReceived == before
	c.mu.Unlock()
	if silent {
		p.link.Close()
	}
}

func (c *RPCClient) connect(ctx context.Context, address string) (*peerConn, error) {
	c.mu.Lock()
	p := c.conns[address]
	c.mu.Unlock()
	if p != nil {
		return p, nil
	}
	link, err := Connect(ctx, address, c.relays())
	if err != nil {
		return nil, err
	}
	if err := link.Send(Frame{Hello: &Hello{Host: c.host}}); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[address]; p != nil {
		link.Close()
		return p, nil
	}
	p = &peerConn{link: link, replies: make(map[uint64]chan bulk.Reply)}
	c.conns[address] = p
	go c.readReplies(address, p)
	return p, nil
}

func (c *RPCClient) readReplies(address string, p *peerConn) {
	_ = p.link.Read(func(f Frame) { // Call returns once the link is closed
		c.mu.Lock()
		p.framesReceived++
		c.mu.Unlock()
		if f.Reply == nil {
			return
		}
		c.mu.Lock()
		reply := p.replies[f.CallID]
		c.mu.Unlock()
		if reply != nil {
			reply <- *f.Reply
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == p {
		delete(c.conns, address)
	}
}
