// Package node holds what a process must know of its own host.
package node

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Settings describe one host and its limits.
type Settings struct {
	Host ids.HostID
	Zone ids.ZoneID
	IP   string
	// CallerAddress and ReadyAddress are where callers and the balancer connect; empty on hosts without callers.
	CallerAddress string
	ReadyAddress  string
	// PeerPort is where other hosts connect, MetricsPort where metrics are served.
	PeerPort    int
	MetricsPort int
	// Seeds are the peer addresses of a few hosts; they may be down.
	Seeds        []string
	MemoryMB     int
	CPUShare     float64
	MaxOpenFiles int
	// First tells that the whole fleet starts for the first time.
	Bootstrap bool
	// Grace is how long after SIGTERM a process is killed.
	GracePeriod time.Duration
	// ResultsKept is how long after its submission a batch job's results stay readable.
	ResultRetention time.Duration
	StoreAddress    string
	StoreValueBytes int
}

// PeerAddress returns where other hosts reach this one.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

// MetricsAddress returns where metrics are served.
func (s Settings) MetricsAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
}

// Check reports every fault at once.
func (s Settings) Check() error {
	var faults []error
	if s.Host == "" {
		faults = append(faults, errors.New("the host's name is missing; set it"))
	}
	if net.ParseIP(s.IP) == nil {
		faults = append(faults, fmt.Errorf("%q is no IP address; set the host's own", s.IP))
	}
	if s.PeerPort <= 0 || s.MetricsPort <= s.PeerPort {
		faults = append(faults, fmt.Errorf("ports %d and %d: at least two free ports are needed", s.PeerPort, s.MetricsPort))
	}
	if _, _, err := net.SplitHostPort(s.StoreAddress); err != nil {
		faults = append(faults, fmt.Errorf("store address %q: %w", s.StoreAddress, err))
	}
	if s.GracePeriod <= 0 {
		faults = append(faults, errors.New("the grace period must be above 0"))
	}
	return errors.Join(faults...)
}
