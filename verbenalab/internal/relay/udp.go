// Package relay forwards TCP connections and UDP datagrams between processes and can interrupt, delay or reset them.
package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

// bufferSize is the size of copy buffers in bytes. A buffer fits the largest datagram.
const bufferSize = 64 << 10

// UDP forwards datagrams to one target. It has a socket towards the target for each sender, so that it can assign the
// target's datagrams to senders.
type UDP struct {
	listener *net.UDPConn
	target   netip.AddrPort
	allow    func(from netip.AddrPort) bool

	mu      sync.Mutex
	sockets map[netip.AddrPort]*net.UDPConn
}

// NewUDP starts a relay between an address and a target. It forwards the datagrams of a sender, and the target's answers to
// them, while allow accepts the sender.
func NewUDP(address, target string, allow func(from netip.AddrPort) bool) (r *UDP, err error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	r = &UDP{listener: listener, target: to, allow: allow, sockets: map[netip.AddrPort]*net.UDPConn{}}
	go r.forwardToTarget()
	return r, nil
}

// Close closes all sockets.
func (r *UDP) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.listener.Close()
	for _, s := range r.sockets {
		err = errors.Join(err, s.Close())
	}
	return err
}

func (r *UDP) forwardToTarget() {
	buffer := make([]byte, bufferSize)
	for {
		n, from, err := r.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !r.allow(from) {
			continue
		}
		if s := r.socketFor(from); s != nil {
			_, _ = s.Write(buffer[:n]) // datagrams may be lost
		}
	}
}

// socketFor returns the socket of a sender, and opens it if there is none. It returns nil if that fails.
func (r *UDP) socketFor(from netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.sockets[from]; s != nil {
		return s
	}
	s, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.sockets[from] = s
	go r.forwardToSender(s, from)
	return s
}

func (r *UDP) forwardToSender(s *net.UDPConn, sender netip.AddrPort) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := s.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.allow(sender) {
			_, _ = r.listener.WriteToUDPAddrPort(buffer[:n], sender) // datagrams may be lost
		}
	}
}
