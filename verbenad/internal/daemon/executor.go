package daemon

import (
	"context"
	"errors"
	"io"
	stdlog "log"
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
	// platformWorkers bounds the calls to the platform that run at once.
	platformWorkers = 64
	// peerWorkers bounds the calls to peers that run at once.
	peerWorkers = 512
)

var errNoOwner = errors.New("nobody owns the shard now")

// executor carries commands out on workers, so that the control goroutine never waits.
type executor struct {
	ctx       context.Context
	daemon    *Daemon
	platform  *platform.Executor
	toPlat    pond.Pool
	toPeers   pond.Pool
	asks      atomic.Uint64
	answering sync.Map // core.AskID to chan wire.Message
}

func newExecutor(ctx context.Context, d *Daemon) *executor {
	return &executor{ctx: ctx, daemon: d, toPlat: pond.NewPool(platformWorkers), toPeers: pond.NewPool(peerWorkers)}
}

// Execute implements control.Executor.
func (x *executor) Execute(cmd core.Command) {
	switch c := cmd.(type) {
	case core.CallPeer:
		x.toPeers.Submit(func() { x.call(c) })
	case core.ReplyToPeer:
		x.reply(c.MessageID, c.Message)
	case core.Record:
		x.daemon.timeline.Record(c.Event)
	case core.DocumentReceived:
		metric.DocumentApplied(string(c.Name))
	case core.SetSlots:
		x.daemon.items.SetSlots(x.ctx, c)
	case core.StopLocalItems:
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
		x.toPlat.Submit(func() { jobs.FailItem(x.ctx, c.Item, c.Reason) })
	case core.SendItems:
		x.toPlat.Submit(func() { x.reply(c.MessageID, jobs.ReadItems(x.ctx, c.Manager, c.Items)) })
	default:
		x.executePlatform(cmd)
	}
}

func (x *executor) executePlatform(cmd core.Command) {
	x.toPlat.Submit(func() {
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

func (x *executor) call(c core.CallPeer) {
	if g, ok := c.Message.(*wire.Gossip); ok {
		g.Stamp = x.daemon.stamps.Now()
	}
	m, err := x.daemon.transport.Call(x.ctx, c.To, c.Address, c.Message)
	if err != nil {
		x.daemon.loop.Post(core.PeerFailed{Call: c.ID})
		return
	}
	x.hear(m)
	x.daemon.loop.Post(core.PeerReplied{Call: c.ID, Message: m})
}

// handlePeer answers a message of a peer.
func (x *executor) handlePeer(ctx context.Context, from ids.HostID, m wire.Message) wire.Message {
	x.hear(m)
	if done, ok := m.(*wire.OutcomeReport); ok {
		return x.daemon.jobs.AcceptOutcomes(ctx, done)
	}
	reply := x.ask(ctx, from, m)
	if g, ok := reply.(*wire.Gossip); ok {
		g.Stamp = x.daemon.stamps.Now()
	}
	return reply
}

// hear moves the time line's clock past that of a peer.
func (x *executor) hear(m wire.Message) {
	if g, ok := m.(*wire.Gossip); ok {
		x.daemon.stamps.Observe(g.Stamp)
	}
}

// ask hands a message to the decisions and waits for their reply.
func (x *executor) ask(ctx context.Context, from ids.HostID, m wire.Message) wire.Message {
	id := core.MessageID(x.asks.Add(1))
	answer := make(chan wire.Message, 1)
	x.answering.Store(id, answer)
	defer x.answering.Delete(id)
	x.daemon.loop.Post(core.PeerMessageReceived{MessageID: id, From: from, Message: m})
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		return &wire.Refusal{Reason: wire.RetryLater}
	}
}

func (x *executor) reply(id core.MessageID, m wire.Message) {
	value, waiting := x.answering.Load(id)
	if !waiting {
		return
	}
	answer, _ := value.(chan wire.Message)
	select {
	case answer <- m:
	default:
	}
}

// send asks a host, which may be this one.
func (x *executor) send(ctx context.Context, to ids.HostID, m wire.Message) (wire.Message, error) {
	if to == x.daemon.settings.Host.ID {
		return x.handlePeer(ctx, to, m), nil
	}
	address, known := x.daemon.loop.Snapshot().Peers[to]
	if !known {
		return nil, errNoOwner
	}
	return x.daemon.transport.Call(ctx, to, address, m)
}

// Hosts implements items.Owners.
func (x *executor) Hosts() []ids.HostID {
	return x.daemon.loop.Snapshot().Shards.Owners()
}

// Ask implements items.Owners.
func (x *executor) RequestItems(ctx context.Context, owner ids.HostID, s ids.ServiceName, limit int) (items []wire.Item, err error) {
	reply, err := x.send(ctx, owner, &wire.ItemsRequest{From: x.daemon.settings.Host.ID, Service: s, Max: limit})
	if err != nil {
		return nil, err
	}
	if got, ok := reply.(*wire.ItemsReply); ok {
		return got.Items, nil
	}
	return nil, errNoOwner
}

// Done implements items.Owners.
func (x *executor) ReportOutcomes(ctx context.Context, j ids.JobID, outcomes []wire.ItemOutcome) (err error) {
	return x.toJobOwner(ctx, j, &wire.OutcomeReport{From: x.daemon.settings.Host.ID, Outcomes: outcomes})
}

// JobChanged implements caller.Nudger. A nudge that is lost is made up for by the
// owner's own looking.
func (x *executor) JobChanged(ctx context.Context, j ids.JobID) {
	_ = x.toJobOwner(ctx, j, &wire.JobChanged{Job: j})
}

// Progress implements caller.Nudger.
func (x *executor) Progress(ctx context.Context, j ids.JobID) (p wire.Progress, known bool) {
	owner, ok := x.daemon.loop.Snapshot().OwnerOf(batch.ShardName(j))
	if !ok {
		return wire.Progress{}, false
	}
	reply, err := x.send(ctx, owner, &wire.ProgressRequest{Job: j})
	if err != nil {
		return wire.Progress{}, false
	}
	if got, ok := reply.(*wire.Progress); ok {
		return *got, got.Known
	}
	return wire.Progress{}, false
}

func (x *executor) toJobOwner(ctx context.Context, j ids.JobID, m wire.Message) (err error) {
	owner, ok := x.daemon.loop.Snapshot().OwnerOf(batch.ShardName(j))
	if !ok {
		return errNoOwner
	}
	reply, err := x.send(ctx, owner, m)
	if err != nil {
		return err
	}
	if refused, ok := reply.(*wire.Refusal); ok {
		return refused
	}
	return nil
}

// quietLog drops the HTTP library's lines about broken connections, which the
// daemon counts itself.
func quietLog() *stdlog.Logger {
	return stdlog.New(io.Discard, "", 0)
}
