package process

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// Constants of the kernel's socket diagnosis (sock_diag(7)).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	allStates        = 0xffffffff
	noCookie         = 0xffffffff
	// requestBytes is the size of a request with its header, inodeOffset the position of the inode in a reply.
	requestBytes = 16 + 56
	inodeOffset  = 16 + 68
	replyBytes   = 16 + 72
)

// socketInode returns the inode of the socket of a connection between two IPv4 addresses, its own one first; 0 if there is none
// any more. /proc/net/tcp would list all sockets of the machine for each connection.
func socketInode(local, remote *net.TCPAddr) (inode uint32, err error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, fmt.Errorf("open a socket for socket diagnosis: %w", err)
	}
	defer func() { _ = syscall.Close(fd) }() // nothing is kept in it
	if err := syscall.Sendto(fd, diagnosisRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("request socket diagnosis: %w", err)
	}
	reply := make([]byte, 1<<12)
	n, _, err := syscall.Recvfrom(fd, reply, 0)
	if err != nil {
		return 0, fmt.Errorf("read socket diagnosis: %w", err)
	}
	return inodeOf(reply[:n])
}

func diagnosisRequest(local, remote *net.TCPAddr) []byte {
	b := make([]byte, 0, requestBytes)
	b = binary.NativeEndian.AppendUint32(b, requestBytes)
	b = binary.NativeEndian.AppendUint16(b, sockDiagByFamily)
	b = binary.NativeEndian.AppendUint16(b, syscall.NLM_F_REQUEST)
	b = append(b, make([]byte, 8)...) // sequence number and port, unused
	b = append(b, syscall.AF_INET, syscall.IPPROTO_TCP, 0, 0)
	b = binary.NativeEndian.AppendUint32(b, allStates)
	b = binary.BigEndian.AppendUint16(b, uint16(local.Port))
	b = binary.BigEndian.AppendUint16(b, uint16(remote.Port))
	b = append(append(b, local.IP.To4()...), make([]byte, 12)...) // IPv6 addresses would take 16 bytes
	b = append(append(b, remote.IP.To4()...), make([]byte, 12)...)
	b = append(b, make([]byte, 4)...) // any interface
	b = binary.NativeEndian.AppendUint32(b, noCookie)
	return binary.NativeEndian.AppendUint32(b, noCookie)
}

func inodeOf(reply []byte) (inode uint32, err error) {
	if len(reply) < syscall.NLMSG_HDRLEN+4 {
		return 0, errors.New("a short reply of socket diagnosis")
	}
	if binary.NativeEndian.Uint16(reply[4:]) == syscall.NLMSG_ERROR {
		code := syscall.Errno(-int32(binary.NativeEndian.Uint32(reply[syscall.NLMSG_HDRLEN:])))
		if code == syscall.ENOENT {
			return 0, nil // the connection has been closed
		}
		return 0, code
	}
	if len(reply) < replyBytes {
		return 0, errors.New("a short reply of socket diagnosis")
	}
	return binary.NativeEndian.Uint32(reply[inodeOffset:]), nil
}
