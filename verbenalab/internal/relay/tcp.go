package relay

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// TCP forwards connections to one target. It can drop the bytes of either direction, delay them, and reset connections.
// A connection that has lost bytes is unusable, so Restore closes all connections.
type TCP struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	delay    atomic.Int64

	mu    sync.Mutex
	conns []*connection
	cuts  []*Cut
}

// NewTCP starts a relay that listens on an address and forwards to a target.
func NewTCP(address, target string) (r *TCP, err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r = &TCP{listener: l, target: target}
	go r.accept()
	return r, nil
}

// Block drops all bytes until Restore is called.
func (r *TCP) Block() { r.SetMode(DropAll) }

// SetMode sets which bytes are dropped from now on.
func (r *TCP) SetMode(m Mode) { r.mode.Store(int32(m)) }

// SetDelay makes the relay hold back each chunk of data for the duration d from now on; 0 ends the delay.
func (r *TCP) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// ResetConnections resets all open connections, so that both ends see an error.
func (r *TCP) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.conns {
		k.reset() // both ends see the reset
	}
	r.conns = nil
}

// Restore closes all connections and forwards new ones again. It does nothing if the mode is Forward.
func (r *TCP) Restore() {
	if Mode(r.mode.Load()) == Forward {
		return
	}
	r.closeConns()
	r.SetMode(Forward)
}

// Close closes the listener and all connections.
func (r *TCP) Close() error {
	r.closeConns()
	return r.listener.Close()
}

func (r *TCP) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.conns {
		k.close()
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
	k := &connection{client: c}
	r.track(k)
	if r.imposeCuts(k) || Mode(r.mode.Load()) == DropAll {
		return // the connection was reset, or stays open and gets no answer
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close() // the client sees the close
		r.mu.Lock()
		defer r.mu.Unlock()
		r.forget(k)
		return
	}
	r.setTarget(k, t)
	go r.copyBytes(k, c, t, false)
	r.copyBytes(k, t, c, true)
}

// setTarget adds the connection to the target, which is closed at once if the client's one has been closed meanwhile.
func (r *TCP) setTarget(k *connection, t net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.target = t
	if !slices.Contains(r.conns, k) {
		_ = t.Close() // the copying ends
	}
}

// endDirection forgets the connection once the bytes of both directions have been copied.
func (r *TCP) endDirection(k *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k.endedDirections++; k.endedDirections == 2 {
		r.forget(k)
	}
}

// forget is called with r.mu held.
func (r *TCP) forget(k *connection) {
	r.conns = slices.DeleteFunc(r.conns, func(x *connection) bool { return x == k })
}

func (r *TCP) track(k *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, k)
}

// copyBytes copies one direction of a connection.
func (r *TCP) copyBytes(k *connection, to, from net.Conn, toTarget bool) {
	defer r.endDirection(k)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if d := r.delay.Load(); n > 0 && d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !Mode(r.mode.Load()).drops(toTarget) && !r.isSilenced(k) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if !r.isSilenced(k) {
				_ = to.Close() // the other end sees the close
			}
			return
		}
	}
}
