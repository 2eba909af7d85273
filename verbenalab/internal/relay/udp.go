// Package relay stands between processes and can cut them from each other.
package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
)

const maxDatagram = 64 << 10

// UDP passes datagrams to one host. Each sender gets a socket of its own towards
// the host, so that answers find their way back.
type UDP struct {
	in     *net.UDPConn
	target netip.AddrPort
	allow  func(from netip.AddrPort) bool

	mu    sync.Mutex
	paths map[netip.AddrPort]*net.UDPConn
}

// NewUDP relays from an address to a target what the predicate allows, in both
// directions.
func NewUDP(address, target string, allow func(from netip.AddrPort) bool) (r *UDP, err error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	r = &UDP{in: in, target: to, allow: allow, paths: map[netip.AddrPort]*net.UDPConn{}}
	go r.forward()
	return r, nil
}

// Close ends the relay.
func (r *UDP) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.in.Close()
	for _, p := range r.paths {
		err = errors.Join(err, p.Close())
	}
	return err
}

func (r *UDP) forward() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if !r.allow(from) {
			continue
		}
		if p := r.path(from); p != nil {
			_, _ = p.Write(buffer[:n]) // a datagram may be lost
		}
	}
}

func (r *UDP) path(from netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.paths[from]; p != nil {
		return p
	}
	p, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
	if err != nil {
		return nil
	}
	r.paths[from] = p
	go r.back(p, from)
	return p
}

func (r *UDP) back(p *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := p.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && r.allow(to) {
			_, _ = r.in.WriteToUDPAddrPort(buffer[:n], to) // a datagram may be lost
		}
	}
}
