package relay

import (
	"net"
	"slices"
)

// Fate is what becomes of a connection whose client is cut off.
type Fate int32

// The fates.
const (
	// Continue leaves the connection as it is.
	Continue Fate = iota
	// Silence drops all bytes and keeps the connection open.
	Silence
	// Reset resets the connection. A new one is reset before its first byte, since the address serves other clients too.
	Reset
)

// Cut separates some clients of a relay from its target.
type Cut struct {
	// Applies reports whether the client of a connection is cut off.
	Applies func(fromClient net.Conn) bool
	// Open is the fate of connections that are open when the cut begins, New that of later ones.
	Open, New Fate
}

// connection is a client's connection and the one to the target, nil if there is none.
type connection struct {
	client, target net.Conn
	// silencedBy is the cut that drops the bytes of this connection, nil if there is none.
	silencedBy      *Cut
	endedDirections int
}

func (c *connection) close() {
	_ = c.client.Close() // both ends see the close
	if c.target != nil {
		_ = c.target.Close()
	}
}

func (c *connection) reset() {
	for _, end := range []net.Conn{c.client, c.target} {
		if t, ok := end.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a connection that has ended already needs no reset
		}
	}
	c.close()
}

// BeginCut applies a cut until EndCut is called.
func (r *TCP) BeginCut(c *Cut) {
	r.mu.Lock()
	r.cuts = append(r.cuts, c)
	open := slices.Clone(r.conns)
	r.mu.Unlock()
	for _, k := range open {
		if c.Open != Continue && c.Applies(k.client) {
			r.impose(c, k, c.Open)
		}
	}
}

// EndCut ends a cut. It closes the connections that have lost bytes.
func (r *TCP) EndCut(c *Cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = slices.DeleteFunc(r.cuts, func(x *Cut) bool { return x == c })
	for _, k := range r.conns {
		if k.silencedBy == c {
			k.close()
		}
	}
	r.conns = slices.DeleteFunc(r.conns, func(k *connection) bool { return k.silencedBy == c })
}

// imposeCuts applies the cuts in force to a new connection. It reports whether one cuts its client off.
func (r *TCP) imposeCuts(k *connection) (cut bool) {
	r.mu.Lock()
	cuts := slices.Clone(r.cuts)
	r.mu.Unlock()
	for _, c := range cuts {
		if c.New != Continue && c.Applies(k.client) {
			r.impose(c, k, c.New)
			return true
		}
	}
	return false
}

func (r *TCP) impose(c *Cut, k *connection, f Fate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch f {
	case Silence:
		if slices.Contains(r.cuts, c) { // it may have ended meanwhile
			k.silencedBy = c
		}
	case Reset:
		k.reset()
		r.forget(k)
	case Continue:
	}
}

func (r *TCP) isSilenced(k *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return k.silencedBy != nil
}
