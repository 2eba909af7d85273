// Package tcpstate tells what the kernel knows of the end of a connection and a read does not report.
package tcpstate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sys/unix"
)

// acknowledgementPoll is the time between checks whether a server has received the rest of a request, and how long a reset may
// follow an orderly end.
const acknowledgementPoll = 5 * time.Millisecond

// tcpCloseWait is the kernel's state of a connection whose other direction has been closed in order, and that hasn't been
// reset since. A read can't tell: once the end of a direction has arrived, it reports that end and no reset.
const tcpCloseWait = 8

// ClosedInOrder reports whether the peer has closed its direction of a connection in order, received all that was written, and has
// not reset the connection at once. It waits for the receipt until the peer has received nothing further for StallTimeout. Other
// connections than those of the kernel report no end but an orderly one.
func ClosedInOrder(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	received := false
	for receipt := (&Receipt{changedAt: time.Now()}); ; time.Sleep(acknowledgementPoll) {
		info, err := tcpInfo(sc)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				log.WithError(err).WithField("peer", c.RemoteAddr().String()).Warn("cannot read the state of a connection")
			}
			return false
		}
		if info.State != tcpCloseWait {
			return false
		}
		if received {
			return true
		}
		received = info.Unacked == 0 && info.Notsent_bytes == 0
		receipt.update(info.Bytes_acked)
		if !received && time.Since(receipt.changedAt) > StallTimeout {
			return false
		}
	}
}

func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}
