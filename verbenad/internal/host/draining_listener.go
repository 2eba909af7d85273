package host

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

// drainingListener accepts the waiting connections before it closes.
type drainingListener struct {
	net.Listener
	// closeBy is the latest time at which it closes, in Unix nanoseconds; 0 while it isn't draining.
	closeBy atomic.Int64
}

// drain makes the listener close once no connection has arrived for acceptQuietTime.
func (d *drainingListener) drain() {
	d.closeBy.Store(time.Now().Add(maxAcceptTime).UnixNano())
	d.extendAccept()
}

// extendAccept gives the next connection acceptQuietTime to arrive, within closeBy.
func (d *drainingListener) extendAccept() {
	end := time.Unix(0, d.closeBy.Load())
	if quiet := time.Now().Add(acceptQuietTime); quiet.Before(end) {
		end = quiet
	}
	l, ok := d.Listener.(*net.TCPListener)
	if !ok || l.SetDeadline(end) != nil {
		_ = d.Close() // a listener without deadlines can't be drained
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener has been drained.
func (d *drainingListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	switch {
	case d.closeBy.Load() == 0:
		return c, err
	case err == nil:
		d.extendAccept()
		return c, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errors.Join(net.ErrClosed, d.Close())
	}
	return nil, err
}
