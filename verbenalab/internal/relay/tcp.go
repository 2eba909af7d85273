package relay

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// TCP passes connections to one address. It can lose what passes in either direction, delay it, and
// reset connections. Where bytes were lost the connection can't go on, so Mend drops it.
type TCP struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	delay    atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// NewTCP relays from an address to a target.
func NewTCP(address, target string) (r *TCP, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r = &TCP{listener: l, target: target}
	go r.accept()
	return r, nil
}

// Cut stops everything from getting through; Mend drops what was open meanwhile.
func (r *TCP) Block() { r.SetMode(DropAll) }

// SetMode says what becomes of bytes from now on.
func (r *TCP) SetMode(m Mode) { r.mode.Store(int32(m)) }

// Delay holds each piece up for a time from now on; 0 ends that.
func (r *TCP) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset breaks all open connections at once, so that both ends see an error.
func (r *TCP) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a connection that has ended already needs no reset
		}
		_ = c.Close() // both ends are told
	}
	r.conns = nil
}

// Mend lets new connections through again. A relay that lost nothing keeps its connections.
func (r *TCP) Restore() {
	if Mode(r.mode.Load()) == Forward {
		return
	}
	r.drop()
	r.SetMode(Forward)
}

// Close ends the relay.
func (r *TCP) Close() error {
	r.drop()
	return r.listener.Close()
}

func (r *TCP) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close() // both ends are told
	}
	r.conns = nil
}

func (r *TCP) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *TCP) serve(c net.Conn) {
	r.keep(c)
	if Mode(r.mode.Load()) == DropAll {
		return // it stays open and silent
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close() // the other end is told
		return
	}
	r.keep(t)
	go r.pass(c, t, false)
	r.pass(t, c, true)
}

func (r *TCP) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.conns, c); i >= 0 {
		r.conns = slices.Delete(r.conns, i, i+1)
	}
}

func (r *TCP) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

// pass copies one direction; forth is the one to the target.
func (r *TCP) pass(to, from net.Conn, forth bool) {
	defer r.forget(from)
	buffer := make([]byte, maxDatagram)
	for {
		n, err := from.Read(buffer)
		if d := r.delay.Load(); n > 0 && d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !Mode(r.mode.Load()).loses(forth) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close() // the other end is told
			return
		}
	}
}
