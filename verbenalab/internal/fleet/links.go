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

	mu  sync.Mutex
	cut bool
}

func (l *links) close() {
	if l.peers != nil {
		_ = l.peers.Close() // the fleet ends
	}
	if l.platform != nil {
		_ = l.platform.Close() // the fleet ends
	}
}

func (l *links) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *links) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// relay puts relays before a host.
func (f *Fleet) relay(h *Host) (err error) {
	if h.listed, err = freeAddress(); err != nil {
		return err
	}
	h.links.peers, err = relay.NewUDP(h.listed, h.Peer, func(from netip.AddrPort) bool {
		return !h.links.isCut() && !f.cutOff(from)
	})
	if err != nil {
		return err
	}
	if h.platform, err = freeAddress(); err != nil {
		return err
	}
	h.links.platform, err = relay.NewTCP(h.platform, f.Platform)
	return err
}

// cutOff tells whether datagrams come from a host that is cut from its peers.
func (f *Fleet) cutOff(from netip.AddrPort) bool {
	for _, h := range f.Hosts {
		if h.Peer == from.String() {
			return h.links.isCut()
		}
	}
	return false
}

// CutPeers cuts a host from all its peers, or mends that.
func (f *Fleet) CutPeers(h *Host, cut bool) { h.links.setCut(cut) }

// CutPlatform cuts a host from the platform, or mends that.
func (f *Fleet) CutPlatform(h *Host, cut bool) {
	if cut {
		h.links.platform.Cut()
		return
	}
	h.links.platform.Mend()
}
