// Package jobs keeps the batch jobs of the shards that this host owns: it reads
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

// Poster takes events for the decisions.
type Poster interface {
	Post(e core.Event)
}

// Config sets how results are committed.
type Config struct {
	Shards int
	// Flush is how long a result waits for others to be committed with.
	FlushDelay time.Duration
	// Poll is how often markers of jobs are looked at.
	PollInterval time.Duration
	// MaxHeldBytes bounds the results that wait for the platform.
	MaxHeldBytes int
}

// Runtime runs the owned shards.
type Runtime struct {
	config   Config
	store    platform.Store
	post     Poster
	timeline *timeline.Recorder
	rows     *rows

	mu       sync.Mutex
	shards   map[ids.ShardID]*shard
	held     int
	pressure bool
}

// NewRuntime returns a runtime without shards.
func NewRuntime(c Config, s platform.Store, p Poster, t *timeline.Recorder) *Runtime {
	return &Runtime{
		config: c, store: s, post: p, timeline: t,
		rows: newRows(s), shards: map[ids.ShardID]*shard{},
	}
}

// Open takes a shard over under an epoch.
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

// Close lets a shard go.
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

// Keep stores a result with the shard's next segment.
func (r *Runtime) StoreResult(id ids.ShardID, result batch.Result) {
	if s := r.shard(id); s != nil {
		s.keep(result)
	}
}

// CloseJob writes a job's results and its end state.
func (r *Runtime) CloseJob(id ids.ShardID, c batch.CloseJob) {
	if s := r.shard(id); s != nil {
		s.closeJob(c)
	}
}

// ReadJob reads a job's object again.
func (r *Runtime) RereadJob(id ids.ShardID, j ids.JobID) {
	if s := r.shard(id); s != nil {
		s.readAgain(j)
	}
}

// Rows returns items with their bodies, for a manager. Those that can't be read
// now are given back.
func (r *Runtime) ReadItems(ctx context.Context, manager ids.HostID, refs []batch.ItemRef) *peer.ItemsReply {
	answer := &peer.ItemsReply{}
	for _, ref := range refs {
		item, err := r.item(ctx, ref)
		if err != nil {
			r.post.Post(core.BatchEvent{Event: batch.ItemReturned{Item: ref, Manager: manager, Yielded: true}})
			continue
		}
		answer.Items = append(answer.Items, item)
	}
	return answer
}

// Done takes outcomes of items that a manager has run.
func (r *Runtime) AcceptOutcomes(ctx context.Context, m *peer.OutcomeReport) peer.Message {
	for _, o := range m.Outcomes {
		if r.shard(batch.ShardOf(o.Ref.Job, r.config.Shards)) == nil {
			return &peer.Refusal{Reason: peer.NotOwner}
		}
	}
	for _, o := range m.Outcomes {
		if err := r.take(ctx, m.From, o); err != nil {
			return &peer.Refusal{Reason: peer.RetryLater}
		}
	}
	return &peer.Ack{}
}

// GiveUp makes an error the result of an item, once its row can be read.
func (r *Runtime) FailItem(ctx context.Context, ref batch.ItemRef, reason string) {
	for ctx.Err() == nil {
		row, _, err := r.rows.row(ctx, ref)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		r.post.Post(core.BatchEvent{Event: batch.ItemFinished{Result: batch.Result{
			Job: ref.Job, Index: ref.Index, Failed: true, Line: errorLine(row.CustomID, reason),
		}}})
		return
	}
}

func (r *Runtime) take(ctx context.Context, from ids.HostID, o peer.ItemOutcome) (err error) {
	if o.Status == 0 {
		r.post.Post(core.BatchEvent{Event: batch.ItemReturned{
			Item: o.Ref, Manager: from, Yielded: o.Yielded, Poisonous: o.Poisonous, Reason: o.Reason,
		}})
		return nil
	}
	row, _, err := r.rows.row(ctx, o.Ref)
	if err != nil {
		return err
	}
	r.post.Post(core.BatchEvent{Event: batch.ItemFinished{Result: batch.Result{
		Job: o.Ref.Job, Index: o.Ref.Index, Failed: o.Status >= firstErrorStatus, Line: responseLine(row.CustomID, o),
	}}})
	return nil
}

func (r *Runtime) item(ctx context.Context, ref batch.ItemRef) (item peer.Item, err error) {
	row, workspace, err := r.rows.row(ctx, ref)
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

// hold counts bytes that wait for the platform, and tells the decisions to give
// out no items while there are too many.
func (r *Runtime) hold(bytes int) {
	r.mu.Lock()
	r.held += bytes
	on := r.held > r.config.MaxHeldBytes
	changed := on != r.pressure
	r.pressure = on
	r.mu.Unlock()
	if changed {
		r.post.Post(core.Backpressure{On: on})
	}
}

// Pending returns how many results are not committed yet.
func (r *Runtime) Uncommitted() (n int) {
	r.mu.Lock()
	shards := make([]*shard, 0, len(r.shards))
	for _, s := range r.shards {
		shards = append(shards, s)
	}
	r.mu.Unlock()
	for _, s := range shards {
		n += s.waiting()
	}
	return n
}
