// Package core combines all decisions of a host in one deterministic state machine, which takes events and
// returns commands. Time and the random seed are passed in.
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

// Core is a host's control state. It is not safe for concurrent use; one goroutine owns it.
type Core struct {
	config   Config
	random   *rand.Rand
	now      time.Time
	commands []Command

	documents         *gossip.DocumentSet
	isolationDetector *gossip.IsolationDetector
	rules             *rules.Rules
	keys              *keys.Table
	peers             map[ids.HostID]string
	// neighbours are the hosts to gossip with. watchesPlatform and monitorsLeases are true on the few hosts that
	// watch the platform's documents, or the leases of all hosts, on behalf of the fleet.
	neighbours      []ids.HostID
	watchesPlatform bool
	monitorsLeases  bool
	pendingCalls    map[CallID]pendingCall
	lastID          uint64

	holder  *lease.Holder
	monitor *lease.Monitor
	shards  shard.Map
	owned   map[ids.ShardID]ownedShard
	// handingOver holds the epochs of shards that this host has handed over while the new map is not confirmed.
	handingOver map[ids.ShardID]ids.Epoch
	// handovers holds what the last owner of each shard reported when it released the shard.
	handovers map[ids.ShardID]*peer.Handover
	platform  platformState
	guards    guardState
	// zones holds the availability zones of entry hosts.
	zones map[ids.HostID]ids.ZoneID
	// cutOffFromPeers is true while this host holds no lease because it reaches too few other hosts.
	cutOffFromPeers bool
	// listingLeases and writingShardMap are true while such a call to the platform is in flight.
	listingLeases    bool
	writingShardMap  bool
	nextLeaseListing time.Time

	ledger      *quota.Ledger
	quotaClient *quota.Client
	admissions  map[quota.Ticket]AdmissionRequested

	routes      *route.Table
	retryBudget *retry.Budget
	poison      *poison.Registry

	managedServers map[ids.BackendID]*managedServer
	// waitingSuspects are suspected requests for which no server is available yet.
	waitingSuspects []RouteRequested
	// suspectSlots holds until when the single slot for suspected requests is taken at each managed server.
	suspectSlots            map[ids.BackendID]time.Time
	managedServersCheckedAt time.Time
	// recheckManagedServers is true if the set of servers that this host manages may have changed.
	recheckManagedServers bool
	onlineReports         map[ids.BackendID]*onlineReport
	queue                 *batch.Queue
	backpressure          bool

	draining bool
	isolated bool
	// snapshotStale is true if a new snapshot must be published.
	snapshotStale bool
	lastGossip    time.Time
	// lastFetch is when a peer was last asked for newer documents.
	lastFetch time.Time
	lastSweep time.Time
}

// ownedShard is a shard that this host owns.
type ownedShard struct {
	epoch ids.Epoch
	since time.Time
	// ready is true once the shard's batch state has been loaded.
	ready bool
}

// pendingCall is a message to a peer that has not been answered yet.
type pendingCall struct {
	to      ids.HostID
	sentAt  time.Time
	message peer.Message
	// placement is the suspected request that waits for the reply, if any.
	placement *suspectPlacement
	// crash is the crash report that waits for the reply, if any.
	crash *crashReport
}

// New returns the state of a host that has just started.
func New(cfg Config, now time.Time) *Core {
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15))
	c := &Core{
		config:            cfg,
		random:            random,
		documents:         gossip.NewDocumentSet(),
		isolationDetector: gossip.NewIsolationDetector(cfg.IsolationTimeout, now),
		rules:             rules.Empty(),
		keys:              keys.Empty(),
		pendingCalls:      map[CallID]pendingCall{},
		holder:            lease.NewHolder(cfg.Lease),
		monitor:           lease.NewMonitor(cfg.Lease.Duration),
		owned:             map[ids.ShardID]ownedShard{},
		handingOver:       map[ids.ShardID]ids.Epoch{},
		guards:            newGuardState(),
		zones:             map[ids.HostID]ids.ZoneID{},
		handovers:         map[ids.ShardID]*peer.Handover{},
		ledger:            quota.NewLedger(cfg.Quota),
		quotaClient:       quota.NewClient(cfg.Host, cfg.QuotaTimeout),
		admissions:        map[quota.Ticket]AdmissionRequested{},
		routes:            route.NewTable(random, route.WithPack(cfg.PackLimit)),
		retryBudget:       retry.NewBudget(cfg.RetryShare, cfg.RetryReserve),
		poison:            poison.NewRegistry(),
		managedServers:    map[ids.BackendID]*managedServer{},
		suspectSlots:      map[ids.BackendID]time.Time{},
		onlineReports:     map[ids.BackendID]*onlineReport{},
		queue:             batch.NewQueue(cfg.ItemAttempts, cfg.ItemTimeout),
	}
	c.now = now
	c.setPeers(maps.Clone(cfg.Seeds))
	return c
}

// Step applies one event and returns the commands that follow from it. It never
// blocks and never reads a clock.
func (c *Core) Step(now time.Time, e Event) []Command {
	c.now = now
	c.commands = nil
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
		c.peerMessageReceived(e)
	case PeerReplied:
		c.peerReplyReceived(e)
	case PeerFailed:
		c.peerFailed(e)
	case ConfigRead, PlatformFailed, HostsRead:
		c.stepPlatform(e)
	case LeaseWritten, LeaseWriteFailed, LeasesListed, GuardedLeasesRead, LeaseGuardsRead, LeaseBreakEnded, ShardMapWritten, ShardReady, ShardSuperseded:
		c.stepOwnership(e)
	case BatchEvent:
		c.stepBatch(e.Event, 0)
	case Backpressure:
		c.backpressure = e.On
	}
	c.publish()
	return c.commands
}

// JobProgress returns the progress of the jobs that this host owns.
func (c *Core) JobProgress() []batch.Progress {
	return c.queue.Jobs()
}

// OwnsShard reports whether the host may act as a shard's owner at the given time, and under which epoch.
func (c *Core) OwnsShard(now time.Time, s ids.ShardID) (e ids.Epoch, ok bool) {
	owned, held := c.owned[s]
	return owned.epoch, held && c.holder.Valid(now)
}

// Sizes counts what the state holds. Operators see it as JSON under these field names. Buckets are the quota
// buckets that this host owns, Purses those whose tokens it spends.
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

// Sizes returns the current counts.
func (c *Core) Sizes() Sizes {
	return Sizes{
		Buckets: c.ledger.Len(), Purses: c.quotaClient.Len(), Jobs: len(c.queue.Jobs()),
		Owned: len(c.owned), Managed: len(c.managedServers), Peers: len(c.peers),
		Suspects: c.poison.Len(), CallsOpen: len(c.pendingCalls),
	}
}

func (c *Core) tick() {
	c.tickOwnership()
	c.tickGossip()
	c.tickPlatform()
	c.stepQuota(quota.Tick{})
	c.tickSlots()
	c.retryWaitingSuspects()
	c.stepBatch(batch.Tick{}, 0)
	const sweepInterval = 10 * time.Second
	if c.now.Sub(c.lastSweep) > sweepInterval {
		c.lastSweep = c.now
		c.ledger.DropIdle(c.now)
	}
}

// drain starts the shutdown: the host requests and assigns no more batch items, gives no promises as a guard, and no longer
// polls other hosts' leases or assigns shards.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	c.snapshotStale = true
	c.record(timeline.Event{Kind: timeline.HostDraining})
}

// release gives up the host's quota grants, shards and lease.
func (c *Core) release() {
	for _, cmd := range c.quotaClient.Drain(c.now) {
		c.executeQuotaCommand(cmd)
	}
	c.releaseLease()
}

func (c *Core) emit(cmds ...Command) {
	c.commands = append(c.commands, cmds...)
}

func (c *Core) record(e timeline.Event) {
	c.emit(Record{e})
}

// call sends a message to a peer. It fails at once if the peer's address isn't known.
func (c *Core) call(to ids.HostID, m peer.Message, report *crashReport) {
	c.callPending(to, m, pendingCall{crash: report})
}

// callPending is like call, with the state to keep until the reply arrives.
func (c *Core) callPending(to ids.HostID, m peer.Message, p pendingCall) {
	c.lastID++
	id := CallID(c.lastID)
	p.to, p.sentAt, p.message = to, c.now, m
	c.pendingCalls[id] = p
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
