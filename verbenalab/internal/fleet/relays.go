package fleet

import (
	"net/netip"
	"sync"

	"verbenaledge.example/verbenalab/internal/relay"
)

// hostRelays holds a host's relays: one in front of its peer listener, one for its calls to the platform.
type hostRelays struct {
	peers    *relay.UDP
	platform *relay.TCP
}

func (r *hostRelays) close() {
	if r.peers != nil {
		_ = r.peers.Close() // the fleet is shutting down
	}
	if r.platform != nil {
		_ = r.platform.Close() // the fleet is shutting down
	}
}

// addressSet is a set of addresses that is safe for concurrent use. Its zero value is empty.
type addressSet struct {
	mu        sync.Mutex
	addresses map[string]bool
}

func (s *addressSet) set(address string, isMember bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses == nil {
		s.addresses = map[string]bool{}
	}
	s.addresses[address] = isMember
}

func (s *addressSet) contains(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[address]
}

// startRelays starts a host's relays and sets the addresses that lead to them. The relay for peers drops packets from
// and to isolated hosts.
func (f *Fleet) startRelays(h *Host) (err error) {
	peer := h.PeerAddress
	err = listenOnFreeAddress(&h.advertisedAddress, func() (err error) {
		h.relays.peers, err = relay.NewUDP(h.advertisedAddress, peer, func(from netip.AddrPort) bool {
			return !f.isolated.contains(peer) && !f.isolated.contains(from.String())
		})
		return err
	})
	if err != nil {
		return err
	}
	return listenOnFreeAddress(&h.platformAddress, func() (err error) {
		h.relays.platform, err = relay.NewTCP(h.platformAddress, f.PlatformAddress)
		return err
	})
}

// SetPeersBlocked disconnects a host from all its peers, or reconnects it.
func (f *Fleet) SetPeersBlocked(h *Host, blocked bool) { f.isolated.set(h.PeerAddress, blocked) }

// SetPlatformBlocked disconnects a host from the platform, or reconnects it.
func (f *Fleet) SetPlatformBlocked(h *Host, blocked bool) {
	if blocked {
		h.relays.platform.Block()
		return
	}
	h.relays.platform.Restore()
}
