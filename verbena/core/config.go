package core

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/slots"
)

// Config sets the lengths and bounds of a host's decisions.
type Config struct {
	Host ids.HostID
	Zone ids.ZoneID
	// Term must differ between runs of one host; it seeds the random source too.
	Seed uint64
	// Seeds are the peers known from the settings.
	Seeds map[ids.HostID]string
	// Shards is the number of shards; it is fixed for a deployment's life.
	Shards int
	Lease  lease.Timing
	Quota  quota.Timing
	// QuotaPatience is how long a request waits for a token.
	QuotaTimeout time.Duration
	// Isolation is how long a host may be cut off before it stops honouring keys.
	IsolationTimeout time.Duration
	// Gossip is how often a host compares documents with its neighbours.
	GossipInterval time.Duration
	// Watchers is how many hosts watch the platform for all.
	Watchers int
	Slots    slots.Policy
	// Pack is how many online requests a backend server gets before the next one
	// does; 0 spreads them.
	PackLimit int
	// ItemAttempts is how often a batch item is tried.
	ItemAttempts int
	// ItemTimeout is how long an owner waits for an item's result.
	ItemTimeout time.Duration
	// RecordAdmissions writes each admitted request to the time line.
	RecordAdmissions bool
	// RetryShare and RetryReserve set each workspace's retry budget.
	RetryShare   float64
	RetryReserve float64
}

// DefaultConfig returns the settings for a host that names itself later.
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
