// Package bulk runs the batch jobs of the shards that this host owns: it accepts them into the
// store, sends their items to backend servers, and makes results visible by writes that can't double.
package bulk

import (
	"context"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/slots"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// maxRunning bounds the items that run or wait for a slot at one host; each holds a connection and its text.
	maxRunning = 400
	// commitAfter is how long results wait for others to share a write with; each write is a priced call.
	commitAfter = 1200 * time.Millisecond
	// commitBeforeDue is how long before a job is due results wait no more.
	commitBeforeDue = 2 * time.Second
	// checkEvery is the time between looks at deadlines and unwritten results.
	checkEvery = 100 * time.Millisecond
)

// Lease tells whether this host may act as the only owner of a shard at this moment.
type Lease interface {
	Owns(s bulk.Shard) bool
}

// Owner runs the jobs of this host's shards. One goroutine owns its state.
type Owner struct {
	host       ids.HostID
	store      objects.Client
	valueBytes int
	lease      Lease
	protocol   Protocol
	slots      *slots.Client
	client     *upstream.Client
	clock      clock.Clock
	sizes      sizes
	do         chan func()
	ctx        context.Context

	// What follows belongs to the goroutine of Run.
	ledger  *bulk.Ledger
	shards  map[bulk.Shard]*shard
	catalog *catalog.Catalog
	running int
	commits map[ids.JobID]*commit
	runs    map[runKey]*itemRun
	passing map[ids.JobID]*passing
	sending int
	submits map[ids.JobID]*submission
	kept    time.Duration
	shown   time.Time
	owners  OwnerClient
}

// runKey names an item among all jobs.
type runKey struct {
	job  ids.JobID
	item bulk.ItemID
}

// Protocol spells the requests of items.
type Protocol interface {
	exchange.Protocol
	// ItemRequest returns an item's request id and headers as a caller would have sent them.
	ItemRequest(i bulk.Item) (id ids.RequestID, header map[string][]string)
}

// shard is a part of the jobs that this host owns.
type shard struct {
	epoch ids.Epoch
	ready bool
	stop  context.CancelFunc
	ctx   context.Context
	// early are calls of a former owner that came before the shard was read.
	early []bulk.Call
}

// New returns an owner of nothing that works until the context ends.
func New(
	ctx context.Context, host ids.HostID, store objects.Client, valueBytes int, l Lease, p Protocol, s *slots.Client, u *upstream.Client,
	c clock.Clock, kept time.Duration, others OwnerClient,
) *Owner {
	return &Owner{
		ctx: ctx, host: host, store: store, valueBytes: valueBytes, lease: l, protocol: p, slots: s, client: u, clock: c, kept: kept,
		do: make(chan func(), 256), ledger: bulk.NewLedger(), shards: make(map[bulk.Shard]*shard),
		owners: others, runs: make(map[runKey]*itemRun), passing: make(map[ids.JobID]*passing),
		commits: make(map[ids.JobID]*commit), submits: make(map[ids.JobID]*submission),
	}
}

// Run owns the state until the context of New ends.
func (o *Owner) Run() {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.do:
			f()
		case <-t.C:
			o.check()
		}
	}
}

// post runs a function in the goroutine that owns the state.
func (o *Owner) post(f func()) {
	select {
	case o.do <- f:
	case <-o.ctx.Done():
	}
}

// SetCatalog puts a configuration in force.
func (o *Owner) SetCatalog(c *catalog.Catalog) {
	o.post(func() { o.catalog = c })
}

// SetShards tells which shards this host owns, and in which epoch. In a new epoch a shard is read again.
func (o *Owner) SetShards(owned map[bulk.Shard]ids.Epoch) {
	o.post(func() {
		for s, h := range o.shards {
			if epoch, ok := owned[s]; !ok || epoch != h.epoch {
				log.WithField("shard", s).Info("shard given up")
				h.stop()
				delete(o.shards, s)
				o.giveUp(s)
			}
		}
		for s, epoch := range owned {
			if _, ok := o.shards[s]; ok {
				continue
			}
			ctx, stop := context.WithCancel(o.ctx)
			h := &shard{epoch: epoch, ctx: ctx, stop: stop}
			o.shards[s] = h
			go o.load(ctx, s, h)
		}
	})
}

// check starts items, gives up those whose time is over, and writes what waits.
func (o *Owner) check() {
	now := o.clock.Now()
	for s, h := range o.shards {
		if !h.ready {
			continue
		}
		for _, r := range o.ledger.Records(s) {
			for _, id := range r.Expired(now) {
				log.WithFields(log.Fields{"job": r.Job.ID, "item": id, "reason": "given_up", "outcome": "errored"}).Warn("item ended")
				o.finish(r, bulk.Result{Item: id, State: bulk.Errored})
			}
			o.commitDue(now, r)
			o.expire(now, r)
		}
	}
	o.show(now)
	o.start()
}

// start runs waiting items, the most urgent first.
func (o *Owner) start() {
	if o.catalog == nil {
		return
	}
	for _, r := range o.ledger.StartItems(maxRunning - o.running) {
		h := o.shards[r.Record.Shard]
		route, ok := o.catalog.Route(r.Record.Job.Route)
		if !ok {
			log.WithFields(log.Fields{"job": r.Record.Job.ID, "item": r.Item.ID, "reason": "route_gone", "outcome": "errored"}).Warn("item ended")
			o.finish(r.Record, bulk.Result{Item: r.Item.ID, State: bulk.Errored})
			continue
		}
		o.running++
		ctx, cancel := context.WithCancel(h.ctx)
		run := &itemRun{owner: o, record: r.Record, item: r.Item, route: route.Name, cancel: cancel}
		run.carried.Store(r.PartialAnswer)
		o.runs[runKey{r.Record.Job.ID, r.Item.ID}] = run
		go func() {
			defer cancel()
			result, done := run.run(ctx)
			o.post(func() { o.ended(run, result, done) })
		}()
		go func() {
			select {
			case <-ctx.Done():
			case <-r.Record.Stopped():
				cancel()
			}
		}()
	}
}

// ended takes an item back from its run.
func (o *Owner) ended(run *itemRun, result bulk.Result, done bool) {
	o.running--
	r := run.record
	if key := (runKey{r.Job.ID, run.item.ID}); o.runs[key] == run {
		delete(o.runs, key)
	}
	if current, ok := o.ledger.Job(r.Job.ID, r.Job.Workspace); !ok || current != r {
		o.passRun(run, result, done) // its shard was given up
		return
	}
	if !done {
		o.ledger.Requeue(r, run.item.ID)
		return
	}
	o.finish(r, result)
}

func (o *Owner) finish(r *bulk.Record, result bulk.Result) (news bool) {
	news = o.ledger.AddResult(r, result)
	c := o.commitOf(r)
	if c.since.IsZero() {
		c.since = o.clock.Now()
	}
	o.commitDue(o.clock.Now(), r)
	return news
}
