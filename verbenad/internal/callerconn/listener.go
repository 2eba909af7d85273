package callerconn

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// acceptQuietTime is how long no connection may have arrived before a listener closes. Closing it resets any
	// connection that waits in the kernel.
	acceptQuietTime = 20 * time.Millisecond
	// maxAcceptTime limits how long a listener waits for such a pause.
	maxAcceptTime = 500 * time.Millisecond
)

// Listener accepts the waiting connections before it closes.
type Listener struct {
	net.Listener
	// closeBy is the latest time at which it closes, in Unix nanoseconds; 0 while it isn't draining.
	closeBy atomic.Int64
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(ln net.Listener) *Listener { return &Listener{Listener: ln} }

// Drain makes the listener close once no connection has arrived for acceptQuietTime.
func (l *Listener) Drain() {
	l.closeBy.Store(time.Now().Add(maxAcceptTime).UnixNano())
	l.extendAccept()
}

// extendAccept gives the next connection acceptQuietTime to arrive, within closeBy.
func (l *Listener) extendAccept() {
	end := time.Unix(0, l.closeBy.Load())
	if quiet := time.Now().Add(acceptQuietTime); quiet.Before(end) {
		end = quiet
	}
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || d.SetDeadline(end) != nil {
		_ = l.Close() // a listener without deadlines can't be drained
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener has been drained.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	draining := l.closeBy.Load() != 0
	switch {
	case err == nil && draining:
		l.extendAccept()
		return &Conn{Conn: c}, nil
	case err == nil:
		return &Conn{Conn: c}, nil
	case draining && errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	return nil, err
}
