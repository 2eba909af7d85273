package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports of fleets lie below those that the system gives to outgoing
// connections. Each process begins at another one and uses none twice.
const (
	firstPort = 20000
	ports     = 12000
	stride    = 331
	portTries = 500
)

var nextPort atomic.Int64

// freeAddress finds a loopback port that is free for TCP and UDP.
func freeAddress() (address string, err error) {
	for range portTries {
		n := int64(os.Getpid())*stride + nextPort.Add(1)
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		if err = tryPort(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

// onFreeAddress listens on a free address, on another if it has been taken meanwhile.
func onFreeAddress(address *string, listen func() error) (err error) {
	const tries = 5
	for range tries {
		if *address, err = freeAddress(); err != nil {
			return err
		}
		if err = listen(); err == nil {
			return nil
		}
	}
	return err
}

func tryPort(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	return errors.Join(l.Close(), p.Close())
}
