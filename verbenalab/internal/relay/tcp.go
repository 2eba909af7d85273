package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// TCP passes connections to one address. While it is cut, connections stay open
// and nothing gets through, as when packets are lost.
type TCP struct {
	listener net.Listener
	target   string
	cut      atomic.Bool

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
func (r *TCP) Cut() { r.cut.Store(true) }

// Mend lets new connections through again.
func (r *TCP) Mend() {
	r.drop()
	r.cut.Store(false)
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
	if r.cut.Load() {
		return // it stays open and silent
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close() // the other end is told
		return
	}
	r.keep(t)
	go r.pass(c, t)
	r.pass(t, c)
}

func (r *TCP) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *TCP) pass(to, from net.Conn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.cut.Load() {
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
