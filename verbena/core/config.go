package core

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/slots"
)

// Config holds the settings of a host's decisions.
type Config struct {
	Host ids.HostID
	Zone ids.ZoneID
	// Seed seeds the random source. It must differ between runs of one host.
	Seed uint64
	// Seeds holds the addresses of the peers known from the settings.
	Seeds map[ids.HostID]string
	// Shards is the number of shards. It must never change during a deployment's life.
	Shards int
	Lease  lease.Timing
	Quota  quota.Timing
	// QuotaTimeout is how long a request waits for a token.
	QuotaTimeout time.Duration
	// IsolationTimeout is how long a host may lack contact with both the platform and most of its peers before it stops
	// accepting keys.
	IsolationTimeout time.Duration
	// GossipInterval is how often a host compares documents with its neighbours.
	GossipInterval time.Duration
	// Watchers is how many hosts watch the platform on behalf of the fleet.
	Watchers int
	Slots    slots.Policy
	// PackLimit is how many online requests a backend server gets before the next server is used. 0 spreads them
	// over all servers.
	PackLimit int
	// ItemAttempts is the maximum number of attempts for a batch item.
	ItemAttempts int
	// ItemTimeout is how long an owner waits for an item's result.
	ItemTimeout time.Duration
	// RecordAdmissions makes the timeline contain each admitted request.
	RecordAdmissions bool
	// RetryShare and RetryReserve define each workspace's retry budget.
	RetryShare   float64
	RetryReserve float64
}

// DefaultConfig returns the default settings, without the host's identity.
func DefaultConfig() Config {
	return Config{
		Shards: 32,
		Lease: lease.Timing{
			Duration: 6 * time.Second,
			Margin:   500 * time.Millisecond,
			Renew:    1500 * time.Millisecond,
		},
		Quota:            quota.Timing{GrantTTL: 1500 * time.Millisecond, ShareTTL: 20 * time.Second, MaxTransit: 8 * time.Second, Margin: 200 * time.Millisecond},
		QuotaTimeout:     800 * time.Millisecond,
		IsolationTimeout: 3 * time.Second,
		GossipInterval:   time.Second,
		Watchers:         3,
		Slots:            slots.Policy{Max: 16, Shared: 2, QuietPeriod: 150 * time.Millisecond, DoublingTime: 100 * time.Millisecond},
		ItemAttempts:     3,
		ItemTimeout:      60 * time.Second,
		RetryShare:       0.2,
		RetryReserve:     20,
	}
}
