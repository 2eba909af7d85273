package cmd

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// loopbackNetwork is the part of the loopback addresses that the hosts of this process use.
type loopbackNetwork struct {
	number int
	// claim is open until the process ends, so that no other test process takes the network.
	claim net.Listener
}

const (
	firstNetwork = 10
	networks     = 50
)

// claimedNetwork is claimed once in a process.
var claimedNetwork = sync.OnceValue(claimNetwork)

func claimNetwork() loopbackNetwork {
	for n := range networks {
		number := firstNetwork + (os.Getpid()+n)%networks
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", number, peerPort)); err == nil {
			return loopbackNetwork{number: number, claim: l}
		}
	}
	panic("all loopback networks are taken by other test processes; run fewer at once")
}

// TestTestProcessesShareNoNetwork guards against tests that fail because the hosts of another test process have their
// addresses.
func TestTestProcessesShareNoNetwork(t *testing.T) {
	first, second := claimNetwork(), claimNetwork()
	qt.Check(t, first.number, qt.Not(qt.Equals), second.number)
	qt.Check(t, first.claim.Close(), qt.IsNil)
	qt.Check(t, second.claim.Close(), qt.IsNil)
}
