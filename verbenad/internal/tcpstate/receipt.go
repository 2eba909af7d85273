package tcpstate

import (
	"net"
	"syscall"
	"time"
)

// Receipt tells whether the peer of a connection goes on receiving what is written to it.
type Receipt struct {
	conn         net.Conn
	acknowledged uint64
	changedAt    time.Time
}

// NewReceipt begins to follow what the peer of a connection receives.
func NewReceipt(c net.Conn) *Receipt {
	r := &Receipt{conn: c, changedAt: time.Now()}
	r.StalledFor()
	return r
}

// StalledFor returns how long the peer has received nothing further, as far as calls of this method have seen.
func (r *Receipt) StalledFor() time.Duration {
	if sc, ok := r.conn.(syscall.Conn); ok {
		if info, err := tcpInfo(sc); err == nil {
			r.update(info.Bytes_acked)
		}
	}
	return time.Since(r.changedAt)
}

func (r *Receipt) update(acknowledged uint64) {
	if acknowledged != r.acknowledged {
		r.acknowledged, r.changedAt = acknowledged, time.Now()
	}
}
