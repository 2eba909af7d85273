package host

import (
	"net"
	"time"
)

// readDelay is the time between the read of a delayed connection and its return.
const readDelay = 150 * time.Millisecond

// delayedListener accepts connections whose goroutines are held up after a read, as on a busy machine.
type delayedListener struct {
	*net.TCPListener
	// held gets a value when data has been read and is held up. The first reads of a connection, undelayed many, aren't.
	held      chan struct{}
	undelayed int
}

func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &delayedConn{TCPConn: c, listener: l}, nil
}

type delayedConn struct {
	*net.TCPConn
	listener *delayedListener
	reads    int
}

func (c *delayedConn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.reads++; c.reads > c.listener.undelayed {
		c.listener.held <- struct{}{}
		time.Sleep(readDelay)
	}
	return n, err
}
