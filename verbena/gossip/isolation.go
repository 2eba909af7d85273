package gossip

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// IsolationDetector decides whether a host is isolated: for longer than a timeout, it has
// neither learned of a read of the platform nor had contact with enough of its last known
// peers to form a majority with them.
type IsolationDetector struct {
	timeout        time.Duration
	lastContacts   map[ids.HostID]time.Time
	platformReadAt time.Time
}

// NewIsolationDetector returns a detector that treats the platform as read at now.
func NewIsolationDetector(timeout time.Duration, now time.Time) *IsolationDetector {
	return &IsolationDetector{timeout: timeout, lastContacts: map[ids.HostID]time.Time{}, platformReadAt: now}
}

// SetPeers replaces the known peers. A new peer counts as contacted at now.
func (d *IsolationDetector) SetPeers(peers []ids.HostID, now time.Time) {
	next := make(map[ids.HostID]time.Time, len(peers))
	for _, p := range peers {
		at, known := d.lastContacts[p]
		if !known {
			at = now
		}
		next[p] = at
	}
	d.lastContacts = next
}

// RecordPeerContact records that a message or reply came from a peer. Unknown peers are ignored.
func (d *IsolationDetector) RecordPeerContact(h ids.HostID, at time.Time) {
	if old, known := d.lastContacts[h]; known && at.After(old) {
		d.lastContacts[h] = at
	}
}

// ContactWithin reports whether the last contact with a peer is no longer ago than a duration.
func (d *IsolationDetector) ContactWithin(h ids.HostID, now time.Time, within time.Duration) bool {
	at, known := d.lastContacts[h]
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
	for _, at := range d.lastContacts {
		if now.Sub(at) <= d.timeout {
			reachable++
		}
	}
	// The host counts itself, so that a host without peers is its own majority.
	return 2*(reachable+1) <= len(d.lastContacts)+1
}
