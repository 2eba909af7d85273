// Package settings reads a daemon's settings file.
package settings

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Settings is the whole file. Only host, caller, operator, peer and platform are required.
type Settings struct {
	Host     Host     `json:"host"`
	Caller   Caller   `json:"caller"`
	Operator Operator `json:"operator"`
	Peer     Peer     `json:"peer"`
	Platform Platform `json:"platform"`
	Lease    Lease    `json:"lease"`
	Quota    Quota    `json:"quota"`
	Batch    Batch    `json:"batch"`
	Backend  Backend  `json:"backend"`
	Drain    Drain    `json:"drain"`
	Log      Log      `json:"log"`
	Timeline Timeline `json:"timeline"`
}

// Host identifies the host that the daemon runs on.
type Host struct {
	ID   ids.HostID `json:"id"`
	Zone ids.ZoneID `json:"zone"`
}

// Caller configures the listener for callers.
type Caller struct {
	Listen       string `json:"listen"`
	MaxBodyBytes int    `json:"max_body_bytes"`
	MaxFileBytes int    `json:"max_file_bytes"`
	// MaxConcurrent is the most requests that are served at the same time.
	MaxConcurrent int `json:"max_concurrent"`
}

// Operator configures the listener for operators and the load balancer's health checks.
type Operator struct {
	Listen string `json:"listen"`
	// TokenFile holds the bearer token of the admin pages.
	TokenFile string `json:"token_file"`
}

// Peer configures the listener for other hosts.
type Peer struct {
	Listen string `json:"listen"`
	// CertFile names the host's certificate, whose DNS name is the host's id.
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
	Seeds    []Seed `json:"seeds"`
	// Reload is the interval at which the three files are read again.
	Reload Duration `json:"reload"`
}

// Seed is a peer that the host knows before it has read the host list.
type Seed struct {
	ID      ids.HostID `json:"id"`
	Address string     `json:"address"`
}

// Platform configures calls to the platform's object API.
type Platform struct {
	Address string   `json:"address"`
	Timeout Duration `json:"timeout"`
}

// Lease configures hosts' leases. All hosts must have the same values.
type Lease struct {
	Duration Duration `json:"duration"`
	Renew    Duration `json:"renew"`
	Margin   Duration `json:"margin"`
	// Shards must not change during the life of a deployment.
	Shards int `json:"shards"`
}

// Quota configures how hosts are granted shares of a workspace's rate. All hosts must have the same values.
type Quota struct {
	GrantTTL Duration `json:"grant_ttl"`
	ShareTTL Duration `json:"share_ttl"`
	Margin   Duration `json:"margin"`
	// Timeout is how long a request waits for a token.
	Timeout Duration `json:"patience"`
}

// Batch configures batch work.
type Batch struct {
	// MaxSlots bounds the items on a backend server without online requests, SharedSlots those beside them.
	MaxSlots    int `json:"max_slots"`
	SharedSlots int `json:"shared_slots"`
	// FixedSlots, when above 0, is the number of items to run whatever online requests there are: a naive
	// baseline for comparison.
	FixedSlots int `json:"fixed_slots"`
	// Quiet is how long a server must be without online requests before its slots for items grow.
	Quiet Duration `json:"quiet"`
	// Growth is the time in which the slots for items double.
	Growth Duration `json:"growth"`
	// Attempts is the most attempts at an item.
	Attempts    int      `json:"attempts"`
	ItemTimeout Duration `json:"item_timeout"`
	// Flush is how long a result may wait to be stored together with others.
	Flush Duration `json:"flush"`
	// Poll is the interval at which the platform is checked for new and cancelled jobs.
	Poll Duration `json:"poll"`
	// MaxHeldBytes bounds the results that wait to be stored in the platform.
	MaxHeldBytes int `json:"max_held_bytes"`
}

// Backend configures calls to backend servers.
type Backend struct {
	ConnectTimeout Duration `json:"connect_timeout"`
	// StallTimeout ends a call on which the server sends nothing for that long.
	StallTimeout Duration `json:"stall_timeout"`
	// Attempts is the most attempts at a request.
	Attempts int `json:"attempts"`
	// Pack is how many online requests a model's server gets before the next server is used, which keeps
	// servers free for batch work; 0 spreads the requests.
	Pack int `json:"pack"`
	// RetryShare is the number of retries that each request adds to its workspace's budget, RetryReserve the budget's
	// initial and highest value.
	RetryShare   float64 `json:"retry_share"`
	RetryReserve float64 `json:"retry_reserve"`
}

// Drain configures a planned stop.
type Drain struct {
	// Notice is how long requests are still accepted after readiness is withdrawn.
	Notice Duration `json:"notice"`
	// Limit bounds the whole drain, including the wait for running requests.
	Limit Duration `json:"limit"`
}

// Log configures the log.
type Log struct {
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"format"`
}

// Timeline configures the timeline of events, which is always kept in memory.
type Timeline struct {
	// File names a file to which the events are also written.
	File string `json:"file"`
	// Admissions also records each admitted request, so that rates can be checked.
	Admissions bool `json:"admissions"`
}

// Defaults returns the defaults of the optional settings.
func Defaults() Settings {
	return Settings{
		Caller: Caller{MaxBodyBytes: 1 << 20, MaxFileBytes: 64 << 20, MaxConcurrent: 4096},
		Peer:   Peer{Reload: Duration(10 * time.Second)},
		Platform: Platform{
			Timeout: Duration(time.Second),
		},
		Lease: Lease{
			Duration: Duration(6 * time.Second),
			Renew:    Duration(1500 * time.Millisecond),
			Margin:   Duration(500 * time.Millisecond),
			Shards:   32,
		},
		Quota: Quota{
			GrantTTL: Duration(1500 * time.Millisecond),
			ShareTTL: Duration(20 * time.Second),
			Margin:   Duration(200 * time.Millisecond),
			Timeout:  Duration(800 * time.Millisecond),
		},
		Batch: Batch{
			MaxSlots:     24,
			SharedSlots:  1,
			Quiet:        Duration(100 * time.Millisecond),
			Growth:       Duration(50 * time.Millisecond),
			Attempts:     3,
			ItemTimeout:  Duration(60 * time.Second),
			Flush:        Duration(time.Second),
			Poll:         Duration(2 * time.Second),
			MaxHeldBytes: 32 << 20,
		},
		Backend: Backend{
			ConnectTimeout: Duration(time.Second),
			StallTimeout:   Duration(20 * time.Second),
			Attempts:       3,
			RetryShare:     0.2,
			RetryReserve:   20,
		},
		Drain: Drain{Notice: Duration(time.Second), Limit: Duration(30 * time.Second)},
		Log:   Log{Level: "info", Format: "json"},
	}
}
