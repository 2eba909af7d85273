package tcpstate

import (
	"net"
	"syscall"
	"time"
)

// StallTimeout is how long a peer may receive nothing before the rest of what was written to it counts as not received. A sound server
// may pause for a second or so.
const StallTimeout = 2 * time.Second

// Receipt tells whether the peer of a connection goes on receiving what is written to it.
type Receipt struct {
	conn         net.Conn
	acknowledged uint64
	changedAt    time.Time
}

// NewReceipt begins to follow what the peer of a connection receives.
func NewReceipt(c net.Conn) *Receipt {
	r := &Receipt{conn: c, changedAt: time.Now()}
	r.Stalled()
	return r
}

// Stalled reports whether the peer has received nothing further for StallTimeout, as far as calls of this method have seen.
func (r *Receipt) Stalled() bool {
	if sc, ok := r.conn.(syscall.Conn); ok {
		if info, err := tcpInfo(sc); err == nil {
			r.update(info.Bytes_acked)
		}
	}
	return time.Since(r.changedAt) > StallTimeout
}

func (r *Receipt) update(acknowledged uint64) {
	if acknowledged != r.acknowledged {
		r.acknowledged, r.changedAt = acknowledged, time.Now()
	}
}
