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
	conns []net.Conn
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
	for _, c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a connection that has ended already needs no reset
		}
		_ = c.Close() // both ends see the reset
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
	for _, c := range r.conns {
		_ = c.Close() // both ends see the close
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
	r.track(c)
	if Mode(r.mode.Load()) == DropAll {
		return // the connection stays open and gets no answer
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close() // the client sees the close
		return
	}
	r.track(t)
	go r.copyBytes(c, t, false)
	r.copyBytes(t, c, true)
}

func (r *TCP) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.conns, c); i >= 0 {
		r.conns = slices.Delete(r.conns, i, i+1)
	}
}

func (r *TCP) track(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

// copyBytes copies one direction of a connection.
func (r *TCP) copyBytes(to, from net.Conn, toTarget bool) {
	defer r.untrack(from)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if d := r.delay.Load(); n > 0 && d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 && !Mode(r.mode.Load()).drops(toTarget) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close() // the other end sees the close
			return
		}
	}
}
