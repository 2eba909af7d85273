package hostlink

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/ids"
)

// answerTimeout is how long an answer may take beyond the wait that it was allowed: some writes to
// a slow store.
const replyTimeout = 900 * time.Millisecond

// Caller asks hosts questions on batch jobs, over one connection a host.
type RPCClient struct {
	host   ids.HostID
	relays func() []string

	mu    sync.Mutex
	peers map[string]*peerConn
}

type peerConn struct {
	link     *Link
	received uint64
	nextCall uint64
	replies  map[uint64]chan bulk.Reply
}

// NewCaller returns a caller without connections. relays names hosts that may pass connections on.
func NewRPCClient(host ids.HostID, relays func() []string) *RPCClient {
	return &RPCClient{host: host, relays: relays, peers: make(map[string]*peerConn)}
}

// Call asks the host at an address. ErrClosed means that no question left; ErrNoAnswer that one did.
func (c *RPCClient) Call(ctx context.Context, address string, q JobsCall) (r bulk.Reply, err error) {
	p, err := c.peer(ctx, address)
	if err != nil {
		return r, err
	}
	c.mu.Lock()
	p.nextCall++
	id, reply := p.nextCall, make(chan bulk.Reply, 1)
	p.replies[id] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(p.replies, id)
		c.mu.Unlock()
	}()
	if err := p.link.Send(Frame{CallID: id, Jobs: &q}); err != nil {
		return r, err
	}
	t := time.NewTimer(max(q.Call.Wait, 0) + replyTimeout)
	defer t.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-p.link.Closed():
	case <-ctx.Done():
	case <-t.C:
		go c.probe(p)
	}
	return r, ErrNoAnswer
}

// probe closes a connection on which not even a sign of life is answered: the network may be cut.
func (c *RPCClient) probe(p *peerConn) {
	c.mu.Lock()
	before := p.received
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
	silent := p.received == before
	c.mu.Unlock()
	if silent {
		p.link.Close()
	}
}

func (c *RPCClient) peer(ctx context.Context, address string) (*peerConn, error) {
	c.mu.Lock()
	p := c.peers[address]
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
	if p := c.peers[address]; p != nil {
		link.Close()
		return p, nil
	}
	p = &peerConn{link: link, replies: make(map[uint64]chan bulk.Reply)}
	c.peers[address] = p
	go c.read(address, p)
	return p, nil
}

func (c *RPCClient) read(address string, p *peerConn) {
	_ = p.link.Read(func(f Frame) { // the end of the connection is told to all that wait
		c.mu.Lock()
		p.received++
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
	if c.peers[address] == p {
		delete(c.peers, address)
	}
}
