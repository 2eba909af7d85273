// Package core joins all decisions of a host into one deterministic state
// machine: events in, commands out, time and the random source passed in.
package core

import (
	"maps"
	"math/rand/v2"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/keys"
	"verbenaledge.example/verbena/lease"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/poison"
	"verbenaledge.example/verbena/quota"
	"verbenaledge.example/verbena/retry"
	"verbenaledge.example/verbena/route"
	"verbenaledge.example/verbena/rules"
	"verbenaledge.example/verbena/shard"
	"verbenaledge.example/verbena/timeline"
)

// Core is a host's control state. One goroutine owns it.
type Core struct {
	config Config
	random *rand.Rand
	now    time.Time
	out    []Command

	docs    *gossip.DocumentSet
	contact *gossip.IsolationDetector
	rules   *rules.Rules
	keys    *keys.Table
	peers   map[ids.HostID]string
	// near are the hosts to gossip with; watches and monitors are this host's parts.
	near     []ids.HostID
	watches  bool
	monitors bool
	backlog  map[CallID]pending
	lastID   uint64

	holder      *lease.Holder
	monitor     *lease.Monitor
	shards      shard.Map
	owned       map[ids.ShardID]tenure
	surrendered map[ids.ShardID]ids.Epoch
	// handed is what former owners of shards have left behind.
	handed   map[ids.ShardID]*peer.Handover
	platform platformView
	guard    guarding
	// zones are the availability zones of entry hosts.
	zones map[ids.HostID]ids.ZoneID
	// cutFromPeers is true while this host holds no lease because too few reach it.
	cutFromPeers bool
	// listing and writing are true while a call to the platform is under way.
	listing  bool
	writing  bool
	nextList time.Time

	ledger  *quota.Ledger
	spender *quota.Client
	admits  map[quota.Ticket]AdmissionRequested

	routes *route.Table
	budget *retry.Budget
	poison *poison.Registry

	managers map[ids.BackendID]*managed
	// parked are suspects that wait for a place.
	parked []RouteRequested
	// suspects is until when a managed server's place for suspects is taken.
	suspects  map[ids.BackendID]time.Time
	managedAt time.Time
	// remanage is true when the servers to be managed may have changed.
	remanage bool
	notices  map[ids.BackendID]*noticing
	queue    *batch.Queue
	pressure bool

	draining bool
	isolated bool
	// dirty is true when traffic needs a new snapshot.
	dirty    bool
	gossiped time.Time
	// fetching is when a peer was last asked for documents that it holds.
	fetching time.Time
	swept    time.Time
}

// tenure is the host's ownership of a shard.
type tenure struct {
	epoch ids.Epoch
	since time.Time
	// ready is true once the batch state has been taken over.
	ready bool
}

// pending is a message to a peer whose reply is awaited.
type pending struct {
	to      ids.HostID
	sent    time.Time
	message peer.Message
	// placing is a suspected request that waits for a manager's word.
	placing *placing
	// verdict is the ask of a peer, or the ticket of a caller, that waits for this call.
	verdict *spreading
}

// New returns the state of a host that has just started.
func New(c Config, now time.Time) *Core {
	random := rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15))
	r := &Core{
		config:      c,
		random:      random,
		docs:        gossip.NewDocumentSet(),
		contact:     gossip.NewIsolationDetector(c.IsolationTimeout, now),
		rules:       rules.Empty(),
		keys:        keys.Empty(),
		backlog:     map[CallID]pending{},
		holder:      lease.NewHolder(c.Lease),
		monitor:     lease.NewMonitor(c.Lease.Duration),
		owned:       map[ids.ShardID]tenure{},
		surrendered: map[ids.ShardID]ids.Epoch{},
		guard:       newGuarding(),
		zones:       map[ids.HostID]ids.ZoneID{},
		handed:      map[ids.ShardID]*peer.Handover{},
		ledger:      quota.NewLedger(c.Quota),
		spender:     quota.NewClient(c.Host, c.QuotaTimeout),
		admits:      map[quota.Ticket]AdmissionRequested{},
		routes:      route.NewTable(random, route.WithPack(c.PackLimit)),
		budget:      retry.NewBudget(c.RetryShare, c.RetryReserve),
		poison:      poison.NewRegistry(),
		managers:    map[ids.BackendID]*managed{},
		suspects:    map[ids.BackendID]time.Time{},
		notices:     map[ids.BackendID]*noticing{},
		queue:       batch.NewQueue(c.ItemAttempts, c.ItemTimeout),
	}
	r.now = now
	r.setPeers(maps.Clone(c.Seeds))
	return r
}

// Step applies one event and returns the commands that follow from it. It never
// blocks and never reads a clock.
func (c *Core) Step(now time.Time, e Event) []Command {
	c.now = now
	c.out = nil
	switch e := e.(type) {
	case Tick:
		c.tick()
	case Drain:
		c.drain()
	case Release:
		c.release()
	case AdmissionRequested, RouteRequested, BackendCallEnded:
		c.stepTraffic(e)
	case CrashDetected, SuspectCompleted:
		c.stepPoison(e)
	case PeerMessageReceived:
		c.peerAsked(e)
	case PeerReplied:
		c.peerReplied(e)
	case PeerFailed:
		c.peerFailed(e)
	case ConfigRead, PlatformFailed, HostsRead:
		c.stepPlatform(e)
	case LeaseWritten, LeaseWriteFailed, LeasesListed, GuardedLeasesRead, LeaseGuardsRead, LeaseBreakEnded, ShardMapWritten, ShardReady, ShardSuperseded:
		c.stepOwnership(e)
	case BatchEvent:
		c.stepBatch(e.Event, 0)
	case Backpressure:
		c.pressure = e.On
	}
	c.publish()
	return c.out
}

// Progress returns how far the jobs of this host are.
func (c *Core) JobProgress() []batch.Progress {
	return c.queue.Jobs()
}

// Holds tells whether the host may act as the owner of a shard at a time, and
// under which epoch.
func (c *Core) OwnsShard(now time.Time, s ids.ShardID) (e ids.Epoch, ok bool) {
	t, held := c.owned[s]
	return t.epoch, held && c.holder.Valid(now)
}

// Sizes counts what the state holds, for metrics.
type Sizes struct {
	Buckets   int
	Purses    int
	Jobs      int
	Owned     int
	Managed   int
	Peers     int
	Suspects  int
	CallsOpen int
}

// Sizes returns the counts of this moment.
func (c *Core) Sizes() Sizes {
	return Sizes{
		Buckets: c.ledger.Len(), Purses: c.spender.Len(), Jobs: len(c.queue.Jobs()),
		Owned: len(c.owned), Managed: len(c.managers), Peers: len(c.peers),
		Suspects: c.poison.Len(), CallsOpen: len(c.backlog),
	}
}

func (c *Core) tick() {
	c.tickOwnership()
	c.tickGossip()
	c.tickPlatform()
	c.spend(quota.Tick{})
	c.tickSlots()
	c.retryParked()
	c.stepBatch(batch.Tick{}, 0)
	const sweepEvery = 10 * time.Second
	if c.now.Sub(c.swept) > sweepEvery {
		c.swept = c.now
		c.ledger.DropIdle(c.now)
	}
}

// drain gives back what others can use at once.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	c.dirty = true
	c.record(timeline.Event{Kind: timeline.HostDraining})
}

// release gives grants, shards and the lease back.
func (c *Core) release() {
	for _, cmd := range c.spender.Drain(c.now) {
		c.spent(cmd)
	}
	c.releaseLease()
}

func (c *Core) emit(cmds ...Command) {
	c.out = append(c.out, cmds...)
}

func (c *Core) record(e timeline.Event) {
	c.emit(Record{e})
}

// call sends a message to a peer, or fails at once when its address isn't known.
func (c *Core) call(to ids.HostID, m peer.Message, v *spreading) {
	c.callFor(to, m, pending{verdict: v})
}

// callFor is like call, for what waits for the reply.
func (c *Core) callFor(to ids.HostID, m peer.Message, p pending) {
	c.lastID++
	id := CallID(c.lastID)
	p.to, p.sent, p.message = to, c.now, m
	c.backlog[id] = p
	address, known := c.peers[to]
	if !known {
		c.peerFailed(PeerFailed{id})
		return
	}
	c.emit(CallPeer{ID: id, To: to, Address: address, Message: m})
}

func (c *Core) servers() []backend.Server {
	return c.routes.Servers(c.now)
}
