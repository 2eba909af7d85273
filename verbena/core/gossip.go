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

// degree is how many neighbours a host gossips with, whatever the fleet's size.
const degree = 8

const (
	// pushBytes is the most that is sent to neighbours unasked.
	pushBytes = 2 << 10
	// packBytes is the size from which documents are compressed.
	packBytes = 1 << 10
	// fetchLimit is when another peer is asked for a document that didn't come.
	fetchLimit = 500 * time.Millisecond
)

// setPeers takes the known hosts, and works out what depends on them: the hosts to
// gossip with, and whether this one watches the platform and the leases for all.
func (c *Core) setPeers(peers map[ids.HostID]string) {
	delete(peers, c.config.Host)
	c.peers = peers
	c.near = c.neighbours()
	c.watches = c.rank("watcher") < c.config.Watchers
	c.monitors = c.rank("monitor") < leaseMonitors
	c.contact.SetPeers(c.near, c.now)
	c.dirty = true
}

// neighbours are the hosts that this one gossips with: all in a small fleet, in
// a large one those with the highest score for this host, which form a random graph.
func (c *Core) neighbours() []ids.HostID {
	list := slices.Sorted(maps.Keys(c.peers))
	if len(list) <= degree {
		return list
	}
	name := string(c.config.Host)
	slices.SortFunc(list, func(x, y ids.HostID) int {
		return cmp.Compare(shard.Score(name, y), shard.Score(name, x))
	})
	return list[:degree]
}

// rank is how many known hosts come before this one for a part.
func (c *Core) rank(part string) (above int) {
	own := shard.Score(part, c.config.Host)
	for h := range c.peers {
		if shard.Score(part, h) > own {
			above++
		}
	}
	return above
}

func (c *Core) tickGossip() {
	if c.now.Sub(c.gossiped) < c.config.GossipInterval {
		return
	}
	c.gossiped = c.now
	for _, h := range c.near {
		c.call(h, c.greeting(nil), nil)
	}
}

// greeting tells a peer what this host holds, with documents that it may lack.
func (c *Core) greeting(docs []gossip.Document) *peer.Gossip {
	return &peer.Gossip{
		From:        c.config.Host,
		Digest:      c.docs.Digest(),
		Age:         c.docs.Age(c.now),
		PlatformAge: c.now.Sub(c.platform.answered),
		Documents:   pack(docs),
		Leaving:     c.routes.Leaving(c.now),
	}
}

// heardGossip takes what a peer holds.
func (c *Core) heardGossip(g *peer.Gossip) {
	c.contact.RecordPeerReply(g.From, c.now)
	for _, b := range g.Leaving {
		c.apply(c.routes.Step(c.now, route.LeavingReported{Backend: b}))
	}
	c.learn(g.Documents)
}

// confirm takes over a peer's freshness from its reply. The peer's age counts from
// when it was asked, so that the way there and back can't make it look fresher.
func (c *Core) confirm(g *peer.Gossip, asked time.Time) {
	c.contact.RecordPlatformRead(asked.Add(-g.Age))
	if !c.docs.IsBehind(g.Digest) {
		c.docs.ConfirmFresh(asked.Add(-g.Age))
	}
}

// learn takes documents and passes the news on.
func (c *Core) learn(docs []gossip.Document) {
	var news []gossip.Document
	size := 0
	for _, d := range docs {
		if d, ok := unpack(d); ok && c.take(d) {
			news = append(news, d)
			size += len(d.Value)
		}
	}
	if len(news) == 0 {
		return
	}
	if size > pushBytes {
		// Neighbours that lack it fetch it once, in place of getting it from each other.
		news = nil
	}
	for _, h := range c.near {
		c.call(h, c.greeting(news), nil)
	}
}

// fetch asks a peer that holds newer documents for them, one peer at a time.
func (c *Core) fetch(g *peer.Gossip) {
	if !c.docs.IsBehind(g.Digest) || c.now.Sub(c.fetching) < fetchLimit {
		return
	}
	c.fetching = c.now
	c.call(g.From, c.greeting(nil), nil)
}

// pack compresses large documents for the wire.
func pack(docs []gossip.Document) []gossip.Document {
	packed := make([]gossip.Document, 0, len(docs))
	for _, d := range docs {
		if len(d.Value) > packBytes {
			d.Value, d.Compressed = batch.Compress(d.Value), true
		}
		packed = append(packed, d)
	}
	return packed
}

func unpack(d gossip.Document) (plain gossip.Document, ok bool) {
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

// take puts a newer document into force. One that can't be read is kept for
// peers but changes nothing here.
func (c *Core) take(d gossip.Document) (news bool) {
	if !c.docs.Offer(d) {
		return false
	}
	c.dirty, c.remanage = true, true
	c.emit(DocumentReceived{d.Name})
	var err error
	switch d.Name {
	case gossip.Rules:
		err = c.takeRules(d)
	case gossip.Keys:
		err = c.takeKeys(d)
	case gossip.Shards:
		err = c.takeShards(d)
	case gossip.Hosts:
		err = c.takeHosts(d)
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

func (c *Core) takeRules(d gossip.Document) error {
	r, err := rules.Parse(string(d.Value))
	if err != nil {
		return err
	}
	c.rules = r
	return nil
}

func (c *Core) takeKeys(d gossip.Document) error {
	t, err := keys.Parse(d.Value)
	if err != nil {
		return err
	}
	c.keys = t
	return nil
}

func (c *Core) takeHosts(d gossip.Document) error {
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

// hostsDocument makes the host list a document at its own version.
func hostsDocument(l platform.HostList) gossip.Document {
	value, err := json.Marshal(l.Servers)
	if err != nil {
		panic(err) // servers hold only strings
	}
	return gossip.Document{Name: gossip.Hosts, Version: l.Version, Value: value}
}
