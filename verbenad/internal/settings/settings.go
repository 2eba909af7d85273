// Package settings reads a daemon's settings file.
package settings

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Settings is the whole file. Every part but host, caller, operator, peer and
// platform may be left out.
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

// Host says who the daemon is.
type Host struct {
	ID   ids.HostID `json:"id"`
	Zone ids.ZoneID `json:"zone"`
}

// Caller is the listener for callers.
type Caller struct {
	Listen        string `json:"listen"`
	MaxBodyBytes  int    `json:"max_body_bytes"`
	MaxFileBytes  int    `json:"max_file_bytes"`
	MaxConcurrent int    `json:"max_concurrent"`
}

// Operator is the listener for operators and the balancer's checks.
type Operator struct {
	Listen string `json:"listen"`
	// TokenFile holds the bearer token of the admin pages.
	TokenFile string `json:"token_file"`
}

// Peer is the listener for other daemons.
type Peer struct {
	Listen string `json:"listen"`
	// CertFile names the host's certificate, whose DNS name is the host's id.
	CertFile string   `json:"cert_file"`
	KeyFile  string   `json:"key_file"`
	CAFile   string   `json:"ca_file"`
	Seeds    []Seed   `json:"seeds"`
	Reload   Duration `json:"reload"`
}

// Seed is a peer known beforehand.
type Seed struct {
	ID      ids.HostID `json:"id"`
	Address string     `json:"address"`
}

// Platform is the object API.
type Platform struct {
	Address string   `json:"address"`
	Timeout Duration `json:"timeout"`
}

// Lease sets the host's lease; all hosts must agree.
type Lease struct {
	Duration Duration `json:"duration"`
	Renew    Duration `json:"renew"`
	Margin   Duration `json:"margin"`
	// Shards is fixed for a deployment's life.
	Shards int `json:"shards"`
}

// Quota sets how grants of a workspace's rate work; all hosts must agree.
type Quota struct {
	GrantTTL Duration `json:"grant_ttl"`
	ShareTTL Duration `json:"share_ttl"`
	Margin   Duration `json:"margin"`
	Patience Duration `json:"patience"`
}

// Batch sets how batch work runs.
type Batch struct {
	// MaxSlots and SharedSlots bound the items on a backend server without and
	// beside online requests.
	MaxSlots    int `json:"max_slots"`
	SharedSlots int `json:"shared_slots"`
	// FixedSlots, when above 0, runs that many items whatever online work there is.
	// It is the naive version, for comparison.
	FixedSlots  int      `json:"fixed_slots"`
	Quiet       Duration `json:"quiet"`
	Growth      Duration `json:"growth"`
	Attempts    int      `json:"attempts"`
	ItemTimeout Duration `json:"item_timeout"`
	Flush       Duration `json:"flush"`
	Poll        Duration `json:"poll"`
	// MaxHeldBytes bounds results that wait for the platform.
	MaxHeldBytes int `json:"max_held_bytes"`
}

// Backend sets how backend servers are called.
type Backend struct {
	ConnectTimeout Duration `json:"connect_timeout"`
	// StallTimeout ends a call that sends nothing for that long.
	StallTimeout Duration `json:"stall_timeout"`
	Attempts     int      `json:"attempts"`
	// Pack is how many online requests a model's server gets before the next one
	// does, which keeps servers free for batch work; 0 spreads them.
	Pack         int     `json:"pack"`
	RetryShare   float64 `json:"retry_share"`
	RetryReserve float64 `json:"retry_reserve"`
}

// Drain sets how a planned stop goes.
type Drain struct {
	// Notice is how long requests are still taken after readiness has gone.
	Notice Duration `json:"notice"`
	// Limit bounds the wait for running requests.
	Limit Duration `json:"limit"`
}

// Log sets the log.
type Log struct {
	Level string `json:"level"`
	// Format is json or text.
	Format string `json:"format"`
}

// Timeline sets where events are written besides memory.
type Timeline struct {
	File string `json:"file"`
	// Admissions also records each admitted request, for checking rates.
	Admissions bool `json:"admissions"`
}

// Defaults returns the settings that a file need not give.
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
			Patience: Duration(800 * time.Millisecond),
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
