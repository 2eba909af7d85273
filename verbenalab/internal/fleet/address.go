package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// The ports of fleets are below the range that the operating system assigns to outgoing connections. Each process uses a loopback
// network of its own: others could take a port between the check that it is free and the start of the program that listens on it.
const (
	firstNetwork = 70
	networks     = 50
	firstPort    = 20000
	portCount    = 12000
	portAttempts = 500
)

// network is the part of the loopback addresses that the fleets of one process use.
type network struct {
	number int
	// claim is open until the process ends, so that no other process takes the network.
	claim net.Listener
}

// claimedNetwork is claimed once in a process.
var claimedNetwork = sync.OnceValues(claimNetwork)

func claimNetwork() (claimed network, err error) {
	for n := range networks {
		claimed.number = firstNetwork + (os.Getpid()+n)%networks
		if claimed.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", claimed.number, firstPort)); err == nil {
			return claimed, nil
		}
	}
	return claimed, fmt.Errorf("all loopback networks are taken by other processes: %w", err)
}

var nextPort atomic.Int64

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (address string, err error) {
	claimed, err := claimedNetwork()
	if err != nil {
		return "", err
	}
	for range portAttempts {
		address = fmt.Sprintf("127.%d.0.1:%d", claimed.number, firstPort+nextPort.Add(1)%portCount)
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
