package core

import (
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/keys"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbena/shard"
)

// Snapshot is the part of the state that request handlers read without an event. It is immutable.
type Snapshot struct {
	Rules    *rules.Rules
	Keys     *keys.Table
	Versions gossip.Digest
	// Ready is true once the host has read the rules and keys.
	Ready    bool
	Isolated bool
	Draining bool
	Shards   shard.Map
	Peers    map[ids.HostID]string
	// Lease is the host's own lease. The host may act on it until ActUntil on the monotonic clock.
	Lease    lease.ID
	ActUntil time.Time
}

// OwnerOf returns the host that owns a name's shard, according to this host's shard map.
func (s *Snapshot) OwnerOf(name string) (h ids.HostID, ok bool) {
	n, ok := s.Shards.ForName(name)
	if !ok {
		return "", false
	}
	h = s.Shards[n].Owner
	return h, h != ""
}
