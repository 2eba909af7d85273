// Package jobs stores the batch jobs of the shards that this host owns. It reads
// their input from the platform and commits their results to it.
package jobs

import (
	"context"
	"sync"
	"time"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/timeline"
)

// Poster accepts events for the control loop.
type Poster interface {
	Post(e core.Event)
}

// Config sets how results are committed.
type Config struct {
	Shards int
	// FlushDelay is how long a result waits to be committed together with others.
	FlushDelay time.Duration
	// PollInterval is the interval between reads of the job markers.
	PollInterval time.Duration
	// MaxHeldBytes limits the results that are not committed yet. Beyond it, no more
	// items are assigned.
	MaxHeldBytes int
}

// Runtime runs the shards that this host owns.
type Runtime struct {
	config   Config
	store    platform.Store
	poster   Poster
	timeline *timeline.Recorder
	rows     *rowReader

	mu           sync.Mutex
	shards       map[ids.ShardID]*shard
	heldBytes    int
	backpressure bool
}

// NewRuntime returns a runtime without any shards.
func NewRuntime(c Config, s platform.Store, p Poster, t *timeline.Recorder) *Runtime {
	return &Runtime{
		config: c, store: s, poster: p, timeline: t,
		rows: newRowReader(s), shards: map[ids.ShardID]*shard{},
	}
}

// OpenShard takes over a shard at an epoch.
func (r *Runtime) OpenShard(ctx context.Context, id ids.ShardID, epoch ids.Epoch) {
	ctx, cancel := context.WithCancel(ctx)
	s := newShard(r, id, epoch, cancel)
	r.mu.Lock()
	old := r.shards[id]
	r.shards[id] = s
	r.mu.Unlock()
	if old != nil {
		old.stop()
	}
	go s.run(ctx)
}

// CloseShard stops a shard if it still has the epoch.
func (r *Runtime) CloseShard(id ids.ShardID, epoch ids.Epoch) {
	r.mu.Lock()
	s := r.shards[id]
	if s == nil || s.epoch != epoch {
		r.mu.Unlock()
		return
	}
	delete(r.shards, id)
	r.mu.Unlock()
	s.stop()
}

// StoreResult adds a result to the shard's next segment.
func (r *Runtime) StoreResult(id ids.ShardID, result batch.Result) {
	if s := r.shard(id); s != nil {
		s.addResult(result)
	}
}

// CloseJob requests that a job's output and final state are written.
func (r *Runtime) CloseJob(id ids.ShardID, c batch.CloseJob) {
	if s := r.shard(id); s != nil {
		s.requestClose(c)
	}
}

// RereadJob requests that a job's object is read again.
func (r *Runtime) RereadJob(id ids.ShardID, j ids.JobID) {
	if s := r.shard(id); s != nil {
		s.requestReread(j)
	}
}

// ReadItems returns items with their bodies for a manager. Items that can't be read now
// are returned to the queue.
func (r *Runtime) ReadItems(ctx context.Context, manager ids.HostID, refs []batch.ItemRef) *peer.ItemsReply {
	reply := &peer.ItemsReply{}
	for _, ir := range refs {
		item, err := r.readItem(ctx, ir)
		if err != nil {
			r.poster.Post(core.BatchEvent{Event: batch.ItemReturned{Item: ir, Manager: manager, Yielded: true}})
			continue
		}
		reply.Items = append(reply.Items, item)
	}
	return reply
}

// AcceptOutcomes handles outcomes of items that a manager has run.
func (r *Runtime) AcceptOutcomes(ctx context.Context, m *peer.OutcomeReport) peer.Message {
	for _, o := range m.Outcomes {
		if r.shard(batch.ShardOf(o.Ref.Job, r.config.Shards)) == nil {
			return &peer.Refusal{Reason: peer.NotOwner}
		}
	}
	for _, o := range m.Outcomes {
		if err := r.acceptOutcome(ctx, m.From, o); err != nil {
			return &peer.Refusal{Reason: peer.RetryLater}
		}
	}
	return &peer.Ack{}
}

// FailItem records an error as the result of an item, as soon as its row can be read.
func (r *Runtime) FailItem(ctx context.Context, ref batch.ItemRef, reason string) {
	for ctx.Err() == nil {
		row, _, err := r.rows.read(ctx, ref)
		if err != nil {
			time.Sleep(retryDelay)
			continue
		}
		r.poster.Post(core.BatchEvent{Event: batch.ItemFinished{Result: batch.Result{
			Job: ref.Job, Index: ref.Index, Failed: true, Line: errorLine(row.CustomID, reason),
		}}})
		return
	}
}

func (r *Runtime) acceptOutcome(ctx context.Context, from ids.HostID, o peer.ItemOutcome) (err error) {
	if o.Status == 0 {
		r.poster.Post(core.BatchEvent{Event: batch.ItemReturned{
			Item: o.Ref, Manager: from, Yielded: o.Yielded, Crashed: o.Crashed, Reason: o.Reason,
		}})
		return nil
	}
	row, _, err := r.rows.read(ctx, o.Ref)
	if err != nil {
		return err
	}
	r.poster.Post(core.BatchEvent{Event: batch.ItemFinished{Result: batch.Result{
		Job: o.Ref.Job, Index: o.Ref.Index, Failed: o.Status >= minErrorStatus, Line: responseLine(row.CustomID, o),
	}}})
	return nil
}

func (r *Runtime) readItem(ctx context.Context, ref batch.ItemRef) (item peer.Item, err error) {
	row, workspace, err := r.rows.read(ctx, ref)
	if err != nil {
		return peer.Item{}, err
	}
	return peer.Item{Ref: ref, Workspace: workspace, Endpoint: row.URL, Body: row.Body}, nil
}

func (r *Runtime) shard(id ids.ShardID) *shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shards[id]
}

// addHeldBytes counts the bytes of uncommitted results and turns on backpressure while
// they exceed MaxHeldBytes.
func (r *Runtime) addHeldBytes(bytes int) {
	r.mu.Lock()
	r.heldBytes += bytes
	on := r.heldBytes > r.config.MaxHeldBytes
	changed := on != r.backpressure
	r.backpressure = on
	r.mu.Unlock()
	if changed {
		r.poster.Post(core.Backpressure{On: on})
	}
}

// Uncommitted returns the number of results that wait for a segment and of jobs that
// wait to be closed.
func (r *Runtime) Uncommitted() (n int) {
	r.mu.Lock()
	shards := make([]*shard, 0, len(r.shards))
	for _, s := range r.shards {
		shards = append(shards, s)
	}
	r.mu.Unlock()
	for _, s := range shards {
		n += s.uncommitted()
	}
	return n
}
