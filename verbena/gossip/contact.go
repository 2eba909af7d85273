package gossip

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Contact judges whether a host is cut off: it has heard neither of the platform
// nor of most of its last known peers for a while.
type IsolationDetector struct {
	patience time.Duration
	heard    map[ids.HostID]time.Time
	platform time.Time
}

// NewContact returns a judge that starts in contact at the given time.
func NewIsolationDetector(patience time.Duration, now time.Time) *IsolationDetector {
	return &IsolationDetector{patience: patience, heard: map[ids.HostID]time.Time{}, platform: now}
}

// SetPeers replaces the known peers; one that is new counts as heard of now.
func (c *IsolationDetector) SetPeers(peers []ids.HostID, now time.Time) {
	next := make(map[ids.HostID]time.Time, len(peers))
	for _, p := range peers {
		at, known := c.heard[p]
		if !known {
			at = now
		}
		next[p] = at
	}
	c.heard = next
}

// HeardPeer notes an answer from a peer.
func (c *IsolationDetector) RecordPeerReply(h ids.HostID, at time.Time) {
	if old, known := c.heard[h]; known && at.After(old) {
		c.heard[h] = at
	}
}

// Heard tells whether a peer has answered within a while.
func (c *IsolationDetector) RepliedWithin(h ids.HostID, now time.Time, within time.Duration) bool {
	at, known := c.heard[h]
	return known && now.Sub(at) <= within
}

// HeardPlatform notes that the platform was read at the given time, here or at a peer.
func (c *IsolationDetector) RecordPlatformRead(at time.Time) {
	if at.After(c.platform) {
		c.platform = at
	}
}

// Isolated tells whether the host must stop honouring keys.
func (c *IsolationDetector) Isolated(now time.Time) bool {
	if now.Sub(c.platform) <= c.patience {
		return false
	}
	reached := 0
	for _, at := range c.heard {
		if now.Sub(at) <= c.patience {
			reached++
		}
	}
	// The host counts itself: with no peers known it is a fleet of one.
	return 2*(reached+1) <= len(c.heard)+1
}
