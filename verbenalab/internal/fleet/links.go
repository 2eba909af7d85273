package fleet

import (
	"net/netip"
	"sync"

	"verbenaledge.example/verbenalab/internal/relay"
)

// links are a host's relays: before its peer listener, and before the platform.
type links struct {
	peers    *relay.UDP
	platform *relay.TCP
}

func (l *links) close() {
	if l.peers != nil {
		_ = l.peers.Close() // the fleet ends
	}
	if l.platform != nil {
		_ = l.platform.Close() // the fleet ends
	}
}

// cuts are the peer addresses of hosts that are cut from their peers.
type cuts struct {
	mu        sync.Mutex
	addresses map[string]bool
}

func (c *cuts) set(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses == nil {
		c.addresses = map[string]bool{}
	}
	c.addresses[address] = cut
}

func (c *cuts) has(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[address]
}

// relay puts relays before a host.
func (f *Fleet) relay(h *Host) (err error) {
	peer := h.Peer
	err = onFreeAddress(&h.listed, func() (err error) {
		h.links.peers, err = relay.NewUDP(h.listed, peer, func(from netip.AddrPort) bool {
			return !f.cuts.has(peer) && !f.cuts.has(from.String())
		})
		return err
	})
	if err != nil {
		return err
	}
	return onFreeAddress(&h.platform, func() (err error) {
		h.links.platform, err = relay.NewTCP(h.platform, f.Platform)
		return err
	})
}

// CutPeers cuts a host from all its peers, or mends that.
func (f *Fleet) CutPeers(h *Host, cut bool) { f.cuts.set(h.Peer, cut) }

// CutPlatform cuts a host from the platform, or mends that.
func (f *Fleet) CutPlatform(h *Host, cut bool) {
	if cut {
		h.links.platform.Block()
		return
	}
	h.links.platform.Restore()
}
