package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports of fleets are below the range that the operating system assigns to outgoing connections. Each process
// starts at a port that follows from its process ID, so that parallel processes rarely try the same ports, and uses
// each port of the range once before it starts over.
const (
	firstPort    = 20000
	portCount    = 12000
	portStride   = 331
	portAttempts = 500
)

var nextPort atomic.Int64

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (address string, err error) {
	for range portAttempts {
		n := int64(os.Getpid())*portStride + nextPort.Add(1)
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		if err = checkPortFree(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

// listenOnFreeAddress sets a free address and listens on it. It retries with another if the port has been taken since
// it was found free.
func listenOnFreeAddress(address *string, listen func() error) (err error) {
	const attempts = 5
	for range attempts {
		if *address, err = freeAddress(); err != nil {
			return err
		}
		if err = listen(); err == nil {
			return nil
		}
	}
	return err
}

func checkPortFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	return errors.Join(listener.Close(), packets.Close())
}
