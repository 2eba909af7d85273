package process

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// HasConnection reports whether the process has the IPv4 connection between two addresses, its own one first.
func (p *Process) HasConnection(local, remote net.Addr) (has bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("look for the owner of a connection from %s to %s: %w", local, remote, err)
		}
	}()
	from, fromOK := local.(*net.TCPAddr)
	to, toOK := remote.(*net.TCPAddr)
	if !fromOK || !toOK || from.IP.To4() == nil || to.IP.To4() == nil {
		return false, errors.New("not IPv4 addresses")
	}
	inode, err := socketInode(from, to)
	if err != nil || inode == 0 {
		return false, err
	}
	return p.hasSocket(inode), nil
}

// hasSocket reports whether one of the process's file descriptors is a socket with this inode. It is false if the process has
// exited.
func (p *Process) hasSocket(inode uint32) bool {
	dir, socket := fmt.Sprintf("/proc/%d/fd", p.PID()), fmt.Sprintf("socket:[%d]", inode)
	descriptors, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, d := range descriptors {
		if target, err := os.Readlink(filepath.Join(dir, d.Name())); err == nil && target == socket {
			return true
		}
	}
	return false
}
