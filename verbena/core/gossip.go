package core

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/keys"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/route"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbena/shard"
	"verbenaledge.example/verbena/timeline"
)

// maxNeighbours is how many hosts a host gossips with, regardless of the fleet's size.
const maxNeighbours = 8

const (
	// maxPushBytes is the largest total size of documents sent to neighbours without a request.
	maxPushBytes = 2 << 10
	// minCompressBytes is the size above which documents are compressed.
	minCompressBytes = 1 << 10
	// fetchTimeout is how long a host waits for requested documents before it asks another peer.
	fetchTimeout = 500 * time.Millisecond
)

// setPeers replaces the known hosts and what depends on them: the hosts to gossip with, and whether this host
// watches the platform and the leases on behalf of the fleet.
func (c *Core) setPeers(peers map[ids.HostID]string) {
	delete(peers, c.config.Host)
	c.peers = peers
	c.neighbours = c.chooseNeighbours()
	c.watchesPlatform = c.rank("watcher") < c.config.Watchers
	c.monitorsLeases = c.rank("monitor") < leaseMonitorCount
	c.isolationDetector.SetPeers(c.neighbours, c.now)
	c.snapshotStale = true
}

// chooseNeighbours returns the hosts that this one gossips with: all in a small fleet, in a large one those with
// the highest score for this host. All hosts' choices together form a random graph.
func (c *Core) chooseNeighbours() []ids.HostID {
	list := slices.Sorted(maps.Keys(c.peers))
	if len(list) <= maxNeighbours {
		return list
	}
	name := string(c.config.Host)
	slices.SortFunc(list, func(x, y ids.HostID) int {
		return cmp.Compare(shard.Score(name, y), shard.Score(name, x))
	})
	return list[:maxNeighbours]
}

// rank returns how many known hosts precede this one in the order for a role.
func (c *Core) rank(role string) (above int) {
	own := shard.Score(role, c.config.Host)
	for h := range c.peers {
		if shard.Score(role, h) > own {
			above++
		}
	}
	return above
}

func (c *Core) tickGossip() {
	if c.now.Sub(c.lastGossip) < c.config.GossipInterval {
		return
	}
	c.lastGossip = c.now
	for _, h := range c.neighbours {
		c.call(h, c.gossipMessage(nil), nil)
	}
}

// gossipMessage returns a message with the document versions that this host holds and with documents that the
// peer may lack.
func (c *Core) gossipMessage(documents []gossip.Document) *peer.Gossip {
	return &peer.Gossip{
		From:        c.config.Host,
		Digest:      c.documents.Digest(),
		Age:         c.documents.Age(c.now),
		PlatformAge: c.now.Sub(c.platform.lastAnswered),
		Documents:   compressDocuments(documents),
		Leaving:     c.routes.Leaving(c.now),
	}
}

// gossipReceived applies a peer's gossip message.
func (c *Core) gossipReceived(g *peer.Gossip) {
	c.isolationDetector.RecordPeerContact(g.From, c.now)
	for _, b := range g.Leaving {
		c.recordChanges(c.routes.Step(c.now, route.LeavingReported{Backend: b}))
	}
	c.applyDocuments(g.Documents)
}

// confirmFreshness applies a peer's freshness from its reply. The peer's age counts from when the message to it
// was sent, so that the round trip can't make it look fresher.
func (c *Core) confirmFreshness(g *peer.Gossip, sentAt time.Time) {
	c.isolationDetector.RecordPlatformRead(sentAt.Add(-g.Age))
	if !c.documents.IsBehind(g.Digest) {
		c.documents.ConfirmFresh(sentAt.Add(-g.Age))
	}
}

// applyDocuments applies newer documents and forwards them to the neighbours.
func (c *Core) applyDocuments(documents []gossip.Document) {
	var toForward []gossip.Document
	size := 0
	for _, d := range documents {
		if d, ok := decompressDocument(d); ok && c.applyDocument(d) {
			toForward = append(toForward, d)
			size += len(d.Value)
		}
	}
	if len(toForward) == 0 {
		return
	}
	if size > maxPushBytes {
		// Without documents the message makes each neighbour fetch them once, instead of receiving them from each of
		// its own neighbours.
		toForward = nil
	}
	for _, h := range c.neighbours {
		c.call(h, c.gossipMessage(toForward), nil)
	}
}

// fetchDocuments requests newer documents from a peer that holds them, from one peer at a time.
func (c *Core) fetchDocuments(g *peer.Gossip) {
	if !c.documents.IsBehind(g.Digest) || c.now.Sub(c.lastFetch) < fetchTimeout {
		return
	}
	c.lastFetch = c.now
	c.call(g.From, c.gossipMessage(nil), nil)
}

// compressDocuments compresses large documents for sending.
func compressDocuments(documents []gossip.Document) []gossip.Document {
	compressed := make([]gossip.Document, 0, len(documents))
	for _, d := range documents {
		if len(d.Value) > minCompressBytes {
			d.Value, d.Compressed = batch.Compress(d.Value), true
		}
		compressed = append(compressed, d)
	}
	return compressed
}

func decompressDocument(d gossip.Document) (plain gossip.Document, ok bool) {
	if !d.Compressed {
		return d, true
	}
	value, err := batch.Decompress(d.Value)
	if err != nil {
		return gossip.Document{}, false
	}
	d.Value, d.Compressed = value, false
	return d, true
}

// applyDocument applies a document if it is newer. One that can't be parsed is kept for peers but has no effect
// here.
func (c *Core) applyDocument(d gossip.Document) (isNew bool) {
	if !c.documents.Offer(d) {
		return false
	}
	c.snapshotStale, c.recheckManagedServers = true, true
	c.emit(DocumentReceived{d.Name})
	var err error
	switch d.Name {
	case gossip.Rules:
		err = c.applyRules(d)
	case gossip.Keys:
		err = c.applyKeys(d)
	case gossip.Shards:
		err = c.applyShardMap(d)
	case gossip.Hosts:
		err = c.applyHosts(d)
	}
	detail := string(d.Name)
	if err != nil {
		detail += ": " + err.Error()
	}
	if d.Name == gossip.Rules || d.Name == gossip.Keys || err != nil {
		c.record(timeline.Event{Kind: timeline.ConfigApplied, Detail: detail})
	}
	return true
}

func (c *Core) applyRules(d gossip.Document) error {
	r, err := rules.Parse(string(d.Value))
	if err != nil {
		return err
	}
	c.rules = r
	return nil
}

func (c *Core) applyKeys(d gossip.Document) error {
	t, err := keys.Parse(d.Value)
	if err != nil {
		return err
	}
	c.keys = t
	return nil
}

func (c *Core) applyHosts(d gossip.Document) error {
	var servers []backend.Server
	if err := json.Unmarshal(d.Value, &servers); err != nil {
		return err
	}
	c.routes.Step(c.now, route.Listed{Servers: servers})
	peers := map[ids.HostID]string{}
	for h, a := range c.config.Seeds {
		peers[h] = a
	}
	for _, s := range servers {
		if s.Role == backend.RoleEntry {
			peers[ids.HostID(s.ID)] = s.Address
			c.zones[ids.HostID(s.ID)] = s.Zone
		}
	}
	c.setPeers(peers)
	return nil
}

// hostsDocument returns the host list as a document with the list's version.
func hostsDocument(l platform.HostList) gossip.Document {
	value, err := json.Marshal(l.Servers)
	if err != nil {
		panic(err) // servers hold only strings
	}
	return gossip.Document{Name: gossip.Hosts, Version: l.Version, Value: value}
}
