package gossip

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// IsolationDetector decides whether a host is isolated: for longer than a timeout, it has
// neither learned of a read of the platform nor received a reply from enough of its last
// known peers to form a majority with them.
type IsolationDetector struct {
	timeout        time.Duration
	lastReplies    map[ids.HostID]time.Time
	platformReadAt time.Time
}

// NewIsolationDetector returns a detector that treats the platform as read at now.
func NewIsolationDetector(timeout time.Duration, now time.Time) *IsolationDetector {
	return &IsolationDetector{timeout: timeout, lastReplies: map[ids.HostID]time.Time{}, platformReadAt: now}
}

// SetPeers replaces the known peers. A new peer counts as having replied at now.
func (d *IsolationDetector) SetPeers(peers []ids.HostID, now time.Time) {
	next := make(map[ids.HostID]time.Time, len(peers))
	for _, p := range peers {
		at, known := d.lastReplies[p]
		if !known {
			at = now
		}
		next[p] = at
	}
	d.lastReplies = next
}

// RecordPeerReply records a message or reply from a peer. Unknown peers are ignored.
func (d *IsolationDetector) RecordPeerReply(h ids.HostID, at time.Time) {
	if old, known := d.lastReplies[h]; known && at.After(old) {
		d.lastReplies[h] = at
	}
}

// RepliedWithin reports whether a peer was last recorded no longer ago than a duration.
func (d *IsolationDetector) RepliedWithin(h ids.HostID, now time.Time, within time.Duration) bool {
	at, known := d.lastReplies[h]
	return known && now.Sub(at) <= within
}

// RecordPlatformRead records that the platform was read at a time, by this host or a peer.
func (d *IsolationDetector) RecordPlatformRead(at time.Time) {
	if at.After(d.platformReadAt) {
		d.platformReadAt = at
	}
}

// Isolated reports whether the host is isolated and must stop accepting API keys.
func (d *IsolationDetector) Isolated(now time.Time) bool {
	if now.Sub(d.platformReadAt) <= d.timeout {
		return false
	}
	reachable := 0
	for _, at := range d.lastReplies {
		if now.Sub(at) <= d.timeout {
			reachable++
		}
	}
	// The host counts itself, so that a host without peers is its own majority.
	return 2*(reachable+1) <= len(d.lastReplies)+1
}
