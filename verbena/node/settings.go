// Package node defines the settings of the host that a process runs on.
package node

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"verbenaledge.example/verbena/ids"
)

// DefaultMaxClockSkew is MaxClockSkew where the settings don't state it.
const DefaultMaxClockSkew = 5 * time.Second

// Settings describe one host and its limits.
type Settings struct {
	Host ids.HostID
	Zone ids.ZoneID
	IP   string
	// CallerAddress and ReadyAddress are the addresses that callers and the load balancer connect to. They are empty on
	// hosts that don't serve callers.
	CallerAddress string
	ReadyAddress  string
	// PeerPort is the port that other hosts connect to, MetricsPort the port that serves metrics.
	PeerPort    int
	MetricsPort int
	// Seeds are the peer addresses of a few hosts, which may be down.
	Seeds        []string
	MemoryMB     int
	CPUShare     float64
	MaxOpenFiles int
	// Bootstrap is true if the whole fleet starts for the first time.
	Bootstrap bool
	// GracePeriod is how long after SIGTERM a process is killed.
	GracePeriod time.Duration
	// ResultRetention is how long after its submission a batch job's results stay readable.
	ResultRetention time.Duration
	// MaxClockSkew is by how much the times of day of two hosts may differ.
	MaxClockSkew time.Duration
	// DrainTimeout is how long after a server's entry says that it leaves the last new request may reach it; 0 means unknown.
	DrainTimeout time.Duration
	// EvacuationTimeout is how long after the operator's request the last new request may reach a server of an evacuated
	// availability zone; 0 means that the deployment has no evacuations.
	EvacuationTimeout time.Duration
	// ColdExcess times the rate that a cold server tolerates, and ColdSlack more, is the most requests that it may get in a second.
	ColdExcess, ColdSlack float64
	StoreAddress          string
	StoreValueBytes       int
}

// PeerAddress returns the address that other hosts connect to.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

// MetricsAddress returns the address that serves metrics.
func (s Settings) MetricsAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.MetricsPort))
}

// Check returns all errors in the settings, joined.
func (s Settings) Check() error {
	var errs []error
	if s.Host == "" {
		errs = append(errs, errors.New("the host's name is missing; set it"))
	}
	if net.ParseIP(s.IP) == nil {
		errs = append(errs, fmt.Errorf("%q is not an IP address; set the host's own", s.IP))
	}
	if s.PeerPort <= 0 || s.MetricsPort <= s.PeerPort {
		errs = append(errs, fmt.Errorf("ports %d and %d: at least two free ports are needed", s.PeerPort, s.MetricsPort))
	}
	if _, _, err := net.SplitHostPort(s.StoreAddress); err != nil {
		errs = append(errs, fmt.Errorf("store address %q: %w", s.StoreAddress, err))
	}
	if s.GracePeriod <= 0 {
		errs = append(errs, errors.New("the grace period must be above 0"))
	}
	if s.MaxClockSkew < 0 {
		errs = append(errs, errors.New("the difference of two hosts' clocks must not be below 0"))
	}
	return errors.Join(errs...)
}
