// Package callerconn accepts the connections of callers, and ends those that carry no request without losing one.
package callerconn

import (
	"errors"
	"net"
	"net/http"
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

// Listener accepts the waiting connections before it closes, and keeps track of those that are open.
type Listener struct {
	net.Listener
	connections connections
	// ending is set once connections end as soon as they carry no request.
	ending atomic.Bool
	// closeBy is the latest time at which it closes, in Unix nanoseconds; 0 while it isn't draining.
	closeBy atomic.Int64
	// guard may be nil.
	guard *Guard
}

// Option configures a listener.
type Option func(*Listener)

// WithGuard makes the listener keep its connections within the limits of a guard.
func WithGuard(g *Guard) Option { return func(l *Listener) { l.guard = g } }

// NewListener returns a listener that accepts the connections of another one.
func NewListener(ln net.Listener, options ...Option) *Listener {
	l := &Listener{Listener: ln, connections: connections{open: make(map[*Conn]bool)}}
	for _, o := range options {
		o(l)
	}
	return l
}

// Drain makes the listener close once no connection has arrived for acceptQuietTime, at the latest at end. It looks for connections
// that wait even if end has passed.
func (l *Listener) Drain(end time.Time) {
	now := time.Now()
	closeBy := now.Add(maxAcceptTime)
	if end.Before(closeBy) {
		closeBy = end
	}
	if earliest := now.Add(acceptQuietTime); closeBy.Before(earliest) {
		closeBy = earliest
	}
	l.closeBy.Store(closeBy.UnixNano())
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
	for {
		begin := time.Now()
		accepted, err := l.Listener.Accept()
		draining := l.closeBy.Load() != 0
		switch {
		case draining && errors.Is(err, os.ErrDeadlineExceeded) && l.heldUp(begin):
			l.extendAccept() // nothing was looked for in the queue
			continue
		case draining && errors.Is(err, os.ErrDeadlineExceeded):
			return nil, errors.Join(net.ErrClosed, l.Close())
		case err != nil:
			return nil, err
		case draining:
			l.extendAccept()
		}
		c := newConn(accepted, &l.connections, l.guard)
		if l.guard != nil && !l.guard.open(c.reader.member) {
			_ = accepted.Close() // no request was read
			continue
		}
		l.connections.add(c)
		if l.ending.Load() {
			c.endWhenIdle()
		}
		return c, nil
	}
}

// heldUp reports whether the deadline had passed when accepting began, at the given time, and another one is left.
func (l *Listener) heldUp(begin time.Time) bool {
	return time.Since(begin) < acceptQuietTime/2 && time.Now().UnixNano() < l.closeBy.Load()
}

// StateChanged is the ConnState callback of the http.Server.
func (l *Listener) StateChanged(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.requestBegins()
	case http.StateIdle:
		conn.becomeIdle()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// EndIdle ends each connection as soon as it has carried a request and is idle, also those that are accepted later.
func (l *Listener) EndIdle() {
	l.ending.Store(true)
	for _, c := range l.connections.list() {
		c.endWhenIdle()
	}
}

// EndUnused ends the connections on which no request has begun.
func (l *Listener) EndUnused() {
	for _, c := range l.connections.list() {
		c.endUnused()
	}
}

// Busy reports whether a request is in progress, or expected on a new connection.
func (l *Listener) Busy() bool { return l.connections.busy(time.Now()) }

// Counts returns the numbers of open connections.
func (l *Listener) Counts() Counts { return l.connections.counts() }

// Open returns the number of open connections.
func (c Counts) Open() int { return c.Active + c.Idle + c.Unused }
