package callerconn

import (
	"io"
	"os"
	"syscall"
	"time"
)

// readArrived reads what has arrived, without waiting.
func (c *Conn) readArrived(p []byte) (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	if err := raw.Read(func(fd uintptr) (done bool) {
		n, readErr = syscall.Read(int(fd), p)
		return true
	}); err != nil {
		return 0, err
	}
	switch {
	case readErr == nil && n == 0:
		return 0, io.EOF
	case readErr != nil:
		return 0, os.ErrDeadlineExceeded // EAGAIN, or an error that the next operation would return, too
	}
	return n, nil
}

// readLate reads what has arrived although the time for it is over, without waiting. A deadline that has passed keeps a read from
// returning it.
func (c *Conn) readLate(p []byte) (n int) {
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	n, err := c.readArrived(p)
	if err != nil || n == 0 {
		return 0
	}
	c.headBegins()
	return n
}
