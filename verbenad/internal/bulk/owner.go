// Package bulk runs the batch jobs of the shards that this host owns: it writes accepted jobs to the store,
// sends their items to backend servers, and publishes results with conditional writes, so that no result
// becomes visible twice.
package bulk

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/exchange"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/node"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/upstream"
)

const (
	// maxRunning bounds the items of one host that run or wait for a slot; each holds a connection and its output.
	maxRunning = 400
	// commitAfter is how long results wait for more to share a write with; each write is a billed call.
	commitAfter = 1200 * time.Millisecond
	// commitBeforeDue is how long before a job's due time results are written without waiting for more.
	commitBeforeDue = 2 * time.Second
	// checkInterval is the time between checks for expired items and unwritten results.
	checkInterval = 100 * time.Millisecond
)

// Lease reports whether this host may act as the only owner of a shard at this moment.
type Lease interface {
	Owns(s bulk.Shard) bool
}

// Owner runs the jobs of this host's shards. Its state is confined to one goroutine.
type Owner struct {
	host       ids.HostID
	store      objects.Client
	valueBytes int
	lease      Lease
	protocol   Protocol
	slots      SlotSource
	client     *upstream.Client
	clock      clock.Clock
	// elapsed measures time that passes, whatever the time of day.
	elapsed clock.Clock
	// maxClockSkew is by how much the time of day of the host that took a submission may differ from this host's.
	maxClockSkew time.Duration
	estimator    eventEstimator
	// servers are those listed last.
	servers atomic.Pointer[listedServers]
	// configuration is the catalog's version, for log lines of items.
	configuration atomic.Uint64
	tasks         chan func()
	ctx           context.Context

	// The fields below are used by the goroutine of Run only, except for owners and orphanAge, which don't change.
	ledger          *bulk.Ledger
	shards          map[bulk.Shard]*shard
	catalog         *catalog.Catalog
	running         int
	commits         map[ids.JobID]*commit
	runs            map[runKey]*itemRun
	reports         map[ids.JobID]*progressReport
	reportsInFlight int
	submissions     map[ids.JobID]*submission
	// deletions counts the deletions of each expired job that haven't ended.
	deletions     map[ids.JobID]int
	retention     time.Duration
	orphanAge     time.Duration
	gaugesUpdated time.Time
	sharesChecked time.Time
	// displaced is how many runs have been displaced and haven't ended yet.
	displaced int
	owners    OwnerClient
}

// runKey identifies an item among the items of all jobs.
type runKey struct {
	job  ids.JobID
	item bulk.ItemID
}

// Protocol encodes the requests of items.
type Protocol interface {
	exchange.Protocol
	// ItemRequest returns the request id and headers that a caller would have sent for the item.
	ItemRequest(i bulk.Item) (id ids.RequestID, header map[string][]string)
}

// shard is the state of a shard that this host owns.
type shard struct {
	epoch ids.Epoch
	ready bool
	stop  context.CancelFunc
	ctx   context.Context
	// unreadable holds the jobs whose stored objects can't be read.
	unreadable map[ids.JobID]bool
	// earlyReports are a former owner's reports that came before the shard was loaded.
	earlyReports []bulk.Call
}

// Option changes an owner.
type Option func(*Owner)

// WithMaxClockSkew sets by how much the times of day of two hosts may differ.
func WithMaxClockSkew(d time.Duration) Option {
	return func(o *Owner) { o.maxClockSkew = d }
}

// New returns an owner without shards that works until the context ends.
func New(
	ctx context.Context, host ids.HostID, store objects.Client, valueBytes int, l Lease, p Protocol, s SlotSource, u *upstream.Client,
	c clock.Clock, retention time.Duration, others OwnerClient, options ...Option,
) *Owner {
	o := &Owner{
		ctx: ctx, host: host, store: store, valueBytes: valueBytes, lease: l, protocol: p, slots: s, client: u, clock: c, retention: retention,
		elapsed: clock.Boot{}, maxClockSkew: node.DefaultMaxClockSkew,
		tasks: make(chan func(), 256), ledger: bulk.NewLedger(), shards: make(map[bulk.Shard]*shard),
		owners: others, runs: make(map[runKey]*itemRun), reports: make(map[ids.JobID]*progressReport),
		commits: make(map[ids.JobID]*commit), submissions: make(map[ids.JobID]*submission),
		deletions: make(map[ids.JobID]int), orphanAge: minOrphanAge,
	}
	for _, option := range options {
		option(o)
	}
	return o
}

// Run processes calls and runs periodic checks until the context of New ends.
func (o *Owner) Run() {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.tasks:
			f()
		case <-t.C:
			o.check()
		}
	}
}

// post queues a function for the goroutine of Run.
func (o *Owner) post(f func()) {
	select {
	case o.tasks <- f:
	case <-o.ctx.Done():
	}
}

// SetCatalog applies a configuration. An item that waits for a slot of a service that its route no longer leads to waits for one
// of the present service instead, or until there is one.
func (o *Owner) SetCatalog(c *catalog.Catalog) {
	o.post(func() {
		o.catalog = c
		o.configuration.Store(uint64(c.Version))
		for _, run := range o.runs {
			if run.wait == nil {
				continue
			}
			if target, ok := o.targetOf(&run.record.Job); !ok || target.service != run.wait.service {
				run.wait.cancel()
			}
		}
	})
}

// SetShards sets the shards that this host owns and their epochs. A shard with a new epoch is loaded again.
func (o *Owner) SetShards(owned map[bulk.Shard]ids.Epoch) {
	o.post(func() {
		for s, sh := range o.shards {
			if epoch, ok := owned[s]; !ok || epoch != sh.epoch {
				log.WithField("shard", s).Info("shard given up")
				sh.stop()
				delete(o.shards, s)
				o.dropShard(s)
			}
		}
		for s, e := range owned {
			if _, ok := o.shards[s]; ok {
				continue
			}
			ctx, stop := context.WithCancel(o.ctx)
			sh := &shard{epoch: e, ctx: ctx, stop: stop}
			o.shards[s] = sh
			go o.load(ctx, s, sh)
		}
	})
}

// check gives up expired items, writes due results, removes old jobs and starts waiting items.
func (o *Owner) check() {
	now, elapsed := o.clock.Now(), o.elapsed.Now()
	for s, sh := range o.shards {
		if !sh.ready {
			continue
		}
		for _, r := range o.ledger.Records(s) {
			for _, id := range r.Expired(elapsed) {
				o.logErrored(r, id, reasonGivenUp, nil)
				o.addResult(r, bulk.Result{Item: id, State: bulk.Errored})
				o.cancelRun(runKey{r.Job.ID, id})
			}
			o.commitIfDue(now, r)
			o.expire(now, r)
		}
	}
	o.updateGauges(now)
	o.displaceWaits(now)
	o.start()
}

// start runs waiting items, at most maxRunning at a time.
func (o *Owner) start() {
	if o.catalog == nil {
		return
	}
	for _, r := range o.ledger.StartItems(maxRunning-o.running, o.shares()) {
		sh := o.shards[r.Record.Shard]
		if _, ok := o.targetOf(&r.Record.Job); !ok {
			o.logErrored(r.Record, r.Item.ID, reasonRouteGone, nil)
			o.addResult(r.Record, bulk.Result{Item: r.Item.ID, State: bulk.Errored})
			continue
		}
		o.running++
		ctx, cancel := context.WithCancel(sh.ctx)
		run := &itemRun{owner: o, record: r.Record, item: r.Item, route: r.Record.Job.Route, cancel: cancel}
		run.partial.Store(r.PartialAnswer)
		run.failures = r.Failures
		o.runs[runKey{r.Record.Job.ID, r.Item.ID}] = run
		go func() {
			defer cancel()
			result, done := run.run(ctx)
			o.post(func() { o.finishRun(run, result, done) })
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

// cancelRun ends the run of an item that has its result.
func (o *Owner) cancelRun(key runKey) {
	if run, ok := o.runs[key]; ok {
		run.cancel()
	}
}

// finishRun adds the result of an item's run, or makes the item waiting again if it has none. If the shard was given up
// meanwhile, it reports the run to the new owner.
func (o *Owner) finishRun(run *itemRun, result bulk.Result, done bool) {
	o.running--
	if run.displaced {
		o.displaced--
	}
	r := run.record
	if key := (runKey{r.Job.ID, run.item.ID}); o.runs[key] == run {
		delete(o.runs, key)
	}
	if current, ok := o.ledger.Job(r.Job.ID, r.Job.Workspace); !ok || current != r {
		o.reportRun(run, result, done)
		return
	}
	if !done {
		o.ledger.Requeue(r, run.item.ID)
		if partial := run.partial.Load(); partial != nil {
			r.AddPartial(*partial)
		}
		r.AddFailures(run.knownFailures())
		return
	}
	o.addResult(r, result)
}

func (o *Owner) addResult(r *bulk.Record, result bulk.Result) (added bool) {
	added = o.ledger.AddResult(r, result)
	c := o.commitFor(r)
	if c.since.IsZero() {
		c.since = o.clock.Now()
	}
	o.commitIfDue(o.clock.Now(), r)
	return added
}
