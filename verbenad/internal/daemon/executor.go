package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	wire "verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbenad/internal/metric"
	"verbenaledge.example/verbenad/internal/platform"
)

const (
	// maxPlatformCalls bounds the concurrent calls to the platform.
	maxPlatformCalls = 64
	// maxPeerCalls bounds the concurrent calls to peers.
	maxPeerCalls = 512
)

var errOwnerUnknown = errors.New("the owner of the shard is not known")

// executor executes commands of the control loop on worker goroutines, so that the loop never blocks.
type executor struct {
	ctx            context.Context
	daemon         *Daemon
	platform       *platform.Executor
	platformPool   pond.Pool
	peerPool       pond.Pool
	lastMessageID  atomic.Uint64
	pendingReplies sync.Map // core.MessageID to chan wire.Message
}

func newExecutor(ctx context.Context, d *Daemon) *executor {
	return &executor{ctx: ctx, daemon: d, platformPool: pond.NewPool(maxPlatformCalls), peerPool: pond.NewPool(maxPeerCalls)}
}

// Execute implements control.Executor.
func (x *executor) Execute(cmd core.Command) {
	switch c := cmd.(type) {
	case core.CallPeer:
		x.peerPool.Submit(func() { x.callPeer(c) })
	case core.ReplyToPeer:
		x.deliverReply(c.MessageID, c.Message)
	case core.Record:
		x.daemon.timeline.Record(c.Event)
	case core.DocumentReceived:
		metric.DocumentApplied(string(c.Name))
	case core.SetSlots:
		x.daemon.items.SetSlots(x.ctx, c)
	case core.CancelLocalItems:
		x.daemon.items.CancelJob(c.Job)
	default:
		x.executeBatch(cmd)
	}
}

func (x *executor) executeBatch(cmd core.Command) {
	jobs := x.daemon.jobs
	switch c := cmd.(type) {
	case core.OpenShard:
		jobs.OpenShard(x.ctx, c.Shard, c.Epoch)
	case core.CloseShard:
		jobs.CloseShard(c.Shard, c.Epoch)
	case core.StoreResult:
		jobs.StoreResult(c.Shard, c.Result)
	case core.CloseJob:
		jobs.CloseJob(c.Shard, c.Close)
	case core.ReadJob:
		jobs.RereadJob(c.Shard, c.Job)
	case core.FailItem:
		x.platformPool.Submit(func() { jobs.FailItem(x.ctx, c.Item, c.Reason) })
	case core.SendItems:
		x.platformPool.Submit(func() { x.deliverReply(c.MessageID, jobs.ReadItems(x.ctx, c.Manager, c.Items)) })
	default:
		x.executePlatform(cmd)
	}
}

func (x *executor) executePlatform(cmd core.Command) {
	x.platformPool.Submit(func() {
		switch c := cmd.(type) {
		case core.ReadConfig:
			x.platform.ReadConfig(x.ctx, c)
		case core.ReadHosts:
			x.platform.ReadHosts(x.ctx, c)
		case core.WriteLease:
			x.platform.WriteLease(x.ctx, c.Command)
		case core.ListLeases:
			x.platform.ListLeases(x.ctx, c)
		case core.ReadGuardedLeases:
			x.platform.ReadGuardedLeases(x.ctx, c)
		case core.ReadLeaseGuards:
			x.platform.ReadLeaseGuards(x.ctx, c)
		case core.BreakLease:
			x.platform.BreakLease(x.ctx, c)
		case core.WriteShardMap:
			x.platform.WriteShardMap(x.ctx, c)
		}
	})
}

func (x *executor) callPeer(c core.CallPeer) {
	if g, ok := c.Message.(*wire.Gossip); ok {
		g.Stamp = x.daemon.hybridClock.Now()
	}
	m, err := x.daemon.transport.Call(x.ctx, c.To, c.Address, c.Message)
	if err != nil {
		x.daemon.loop.Post(core.PeerFailed{Call: c.ID})
		return
	}
	x.observeClock(m)
	x.daemon.loop.Post(core.PeerReplied{Call: c.ID, Message: m})
}

// handlePeer returns the reply to a peer's message.
func (x *executor) handlePeer(ctx context.Context, from ids.HostID, m wire.Message) wire.Message {
	x.observeClock(m)
	if report, ok := m.(*wire.OutcomeReport); ok {
		return x.daemon.jobs.AcceptOutcomes(ctx, report)
	}
	reply := x.awaitReply(ctx, from, m)
	if g, ok := reply.(*wire.Gossip); ok {
		g.Stamp = x.daemon.hybridClock.Now()
	}
	return reply
}

// observeClock moves this host's clock for timeline events past the timestamp in a peer's gossip.
func (x *executor) observeClock(m wire.Message) {
	if g, ok := m.(*wire.Gossip); ok {
		x.daemon.hybridClock.Observe(g.Stamp)
	}
}

// awaitReply posts a message to the control loop and waits for the reply.
func (x *executor) awaitReply(ctx context.Context, from ids.HostID, m wire.Message) wire.Message {
	id := core.MessageID(x.lastMessageID.Add(1))
	replies := make(chan wire.Message, 1)
	x.pendingReplies.Store(id, replies)
	defer x.pendingReplies.Delete(id)
	x.daemon.loop.Post(core.PeerMessageReceived{MessageID: id, From: from, Message: m})
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return &wire.Refusal{Reason: wire.RetryLater}
	}
}

func (x *executor) deliverReply(id core.MessageID, m wire.Message) {
	value, waiting := x.pendingReplies.Load(id)
	if !waiting {
		return
	}
	replies, _ := value.(chan wire.Message)
	select {
	case replies <- m:
	default:
	}
}

// callHost sends a message to a host, which may be this one, and returns the reply.
func (x *executor) callHost(ctx context.Context, to ids.HostID, m wire.Message) (wire.Message, error) {
	if to == x.daemon.settings.Host.ID {
		return x.handlePeer(ctx, to, m), nil
	}
	address, known := x.daemon.loop.Snapshot().Peers[to]
	if !known {
		return nil, errOwnerUnknown
	}
	return x.daemon.transport.Call(ctx, to, address, m)
}

// Hosts implements items.OwnerClient.
func (x *executor) Hosts() []ids.HostID {
	return x.daemon.loop.Snapshot().Shards.Owners()
}

// RequestItems implements items.OwnerClient.
func (x *executor) RequestItems(ctx context.Context, owner ids.HostID, s ids.ServiceName, limit int) (items []wire.Item, err error) {
	reply, err := x.callHost(ctx, owner, &wire.ItemsRequest{From: x.daemon.settings.Host.ID, Service: s, Max: limit})
	if err != nil {
		return nil, err
	}
	if got, ok := reply.(*wire.ItemsReply); ok {
		return got.Items, nil
	}
	return nil, errOwnerUnknown
}

// ReportOutcomes implements items.OwnerClient.
func (x *executor) ReportOutcomes(ctx context.Context, j ids.JobID, outcomes []wire.ItemOutcome) (err error) {
	return x.callJobOwner(ctx, j, &wire.OutcomeReport{From: x.daemon.settings.Host.ID, Outcomes: outcomes})
}

// JobChanged implements caller.OwnerClient. If the message is lost, the owner finds the change when it next polls.
func (x *executor) JobChanged(ctx context.Context, j ids.JobID) {
	_ = x.callJobOwner(ctx, j, &wire.JobChanged{Job: j})
}

// Progress implements caller.OwnerClient.
func (x *executor) Progress(ctx context.Context, j ids.JobID) (p wire.Progress, known bool) {
	owner, ok := x.daemon.loop.Snapshot().OwnerOf(batch.ShardName(j))
	if !ok {
		return wire.Progress{}, false
	}
	reply, err := x.callHost(ctx, owner, &wire.ProgressRequest{Job: j})
	if err != nil {
		return wire.Progress{}, false
	}
	if got, ok := reply.(*wire.Progress); ok {
		return *got, got.Known
	}
	return wire.Progress{}, false
}

func (x *executor) callJobOwner(ctx context.Context, j ids.JobID, m wire.Message) (err error) {
	owner, ok := x.daemon.loop.Snapshot().OwnerOf(batch.ShardName(j))
	if !ok {
		return errOwnerUnknown
	}
	reply, err := x.callHost(ctx, owner, m)
	if err != nil {
		return err
	}
	if refused, ok := reply.(*wire.Refusal); ok {
		return refused
	}
	return nil
}
