package serverrelay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// ErrRelayLost is returned on a connection whose relay ended it. It says nothing about the server.
var ErrRelayLost = errors.New("the relay's connection ended")

// Conn is a connection to a server over a relay.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// remaining is how many bytes of the present chunk are unread.
	remaining int
	// ended is what Read returns once the server's connection or the relay's has ended.
	ended    error
	stopping atomic.Bool
}

// Read reads what the server sent. It returns io.EOF only if the server closed its direction of the connection in order.
func (c *Conn) Read(p []byte) (n int, err error) {
	for c.remaining == 0 && c.ended == nil {
		c.readHeader()
	}
	if c.ended != nil {
		return 0, c.ended
	}
	n, err = c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if err != nil {
		c.ended = lost(err)
	}
	return n, c.ended
}

func (c *Conn) readHeader() {
	kind, length, err := readChunkHeader(c.reader)
	switch {
	case err != nil:
		c.ended = lost(err)
	case kind == dataChunk:
		c.remaining = length
	case kind == closedChunk:
		c.ended = io.EOF
	case kind == resetChunk:
		c.ended = fmt.Errorf("server's connection, as the relay saw it: %w", syscall.ECONNRESET)
	case kind == stoppingChunk:
		c.stopping.Store(true)
	}
}

// ConfirmEnd reports whether the server, whose end Read has returned as io.EOF, has received all of the request. No other request can
// be sent. It waits as long as the relay does; Close ends it. The error means that the relay doesn't say.
func (c *Conn) ConfirmEnd() (received bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("confirm the end of a relayed connection: %w", err)
		}
	}()
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false, errors.ErrUnsupported
	}
	if err := closer.CloseWrite(); err != nil {
		return false, err
	}
	for {
		kind, _, err := readChunkHeader(c.reader)
		if err != nil {
			return false, err
		}
		if kind != stoppingChunk {
			return kind == closedChunk, nil
		}
	}
}

// lost returns the error for the end of the relay's own connection. An end of file must not look like the server's.
func lost(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return err // closed by this host
	}
	return fmt.Errorf("%w: %s", ErrRelayLost, err.Error()) // the cause must not be matched
}

// Write sends bytes to the server. Its failure is the relay's.
func (c *Conn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	if err != nil {
		err = lost(err)
	}
	return n, err
}

// Reusable reports whether the connection may carry another request.
func (c *Conn) Reusable() bool {
	return c.ended == nil && c.remaining == 0 && c.reader.Buffered() == 0 && !c.stopping.Load()
}

// SyscallConn returns the raw connection to the relay.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
