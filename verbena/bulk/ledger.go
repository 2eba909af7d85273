package bulk

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Ledger holds the jobs of an owner's shards and their progress. It is not safe for concurrent use.
type Ledger struct {
	jobs    map[ids.JobID]*Record
	waiting map[capKey]int64
}

// capKey identifies a cap on waiting tokens: each workspace has one per route.
type capKey struct {
	workspace ids.WorkspaceID
	route     string
}

// Record is one job with its progress.
type Record struct {
	// Job has its items' ids and tokens only.
	Job   Job
	Shard Shard
	// Results are the visible results in their final order; Segments counts the writes that made them visible.
	Results  []Result
	Segments int
	// Pending holds complete results that are not visible yet.
	Pending []Result
	Ended   bool
	// AwaitingProgress keeps items from starting while a former owner may still report their progress.
	AwaitingProgress bool
	// KnownSince is when this host received the job or loaded it from the store, DueAt when its results are due, and GiveUpAt when its
	// unfinished items are given up. They are by the owner's clock of elapsed time, which doesn't change when the time of day is set.
	KnownSince time.Time
	DueAt      time.Time
	GiveUpAt   time.Time

	items   map[ItemID]*itemRecord
	changed chan struct{}
	stopped chan struct{}
}

// itemRecord is an item's progress.
type itemRecord struct {
	item           Item
	state          itemState
	countedWaiting bool
	// partial is the beginning of the answer that a former owner reported, or nil.
	partial *PartialAnswer
	// failures counts the answers of 500 that are known from earlier runs.
	failures int
}

type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	itemDone
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{jobs: make(map[ids.JobID]*Record), waiting: make(map[capKey]int64)}
}

// Job returns a job of the workspace. A job of another workspace counts as not found.
func (l *Ledger) Job(id ids.JobID, w ids.WorkspaceID) (r *Record, ok bool) {
	r, ok = l.jobs[id]
	if !ok || r.Job.Workspace != w {
		return nil, false
	}
	return r, true
}

// HasOther reports whether a job of another workspace has an id.
func (l *Ledger) HasOther(id ids.JobID, w ids.WorkspaceID) bool {
	r, ok := l.jobs[id]
	return ok && r.Job.Workspace != w
}

// ReserveTokens counts a job's tokens as waiting, unless they would exceed the limit. Limit 0 means none.
func (l *Ledger) ReserveTokens(j *Job, limit int64) bool {
	key := capKey{j.Workspace, j.Route}
	if limit > 0 && j.Tokens() > limit-l.waiting[key] {
		return false
	}
	l.waiting[key] += j.Tokens()
	return true
}

// ReleaseTokens undoes ReserveTokens for a job that was not accepted.
func (l *Ledger) ReleaseTokens(j *Job) {
	l.waiting[capKey{j.Workspace, j.Route}] -= j.Tokens()
}

// Add adds an accepted job, or returns the record that exists already. reserved means that ReserveTokens
// has already counted its tokens.
func (l *Ledger) Add(j Job, s Shard, reserved bool) *Record {
	if r, ok := l.jobs[j.ID]; ok {
		if reserved {
			l.ReleaseTokens(&j)
		}
		return r
	}
	r := &Record{Job: j, Shard: s, items: make(map[ItemID]*itemRecord, len(j.Items)), changed: make(chan struct{}), stopped: make(chan struct{})}
	r.Job.Items = make([]Item, 0, len(j.Items))
	for _, i := range j.Items {
		r.Job.Items = append(r.Job.Items, i.withoutInput())
		r.items[i.ID] = &itemRecord{item: i, countedWaiting: true}
		if !reserved {
			l.waiting[capKey{j.Workspace, j.Route}] += i.Tokens
		}
	}
	l.jobs[j.ID] = r
	return r
}

// Commit makes the results of the next segment visible, except those of items that have a visible result already.
func (l *Ledger) Commit(r *Record, s Segment) {
	for _, rs := range s.Results {
		p, ok := r.items[rs.Item]
		if !ok || r.IsVisible(rs.Item) {
			continue
		}
		l.removeFromWaiting(r, p)
		p.state = itemDone
		p.item, p.partial = p.item.withoutInput(), nil
		r.Results = append(r.Results, rs)
	}
	r.Segments++
	pending := r.Pending[:0]
	for _, rs := range r.Pending {
		if !r.IsVisible(rs.Item) {
			pending = append(pending, rs)
		}
	}
	r.Pending = pending
	r.notifyChanged()
}

// IsVisible reports whether an item's result is visible.
func (r *Record) IsVisible(id ItemID) bool {
	for _, rs := range r.Results {
		if rs.Item == id {
			return true
		}
	}
	return false
}

func (l *Ledger) removeFromWaiting(r *Record, p *itemRecord) {
	if p.countedWaiting {
		p.countedWaiting = false
		l.waiting[capKey{r.Job.Workspace, r.Job.Route}] -= p.item.Tokens
	}
}

// AddResult records an item's result as pending; Commit makes it visible. added is false if the item has a
// result already.
func (l *Ledger) AddResult(r *Record, result Result) (added bool) {
	p, ok := r.items[result.Item]
	if !ok || p.state == itemDone {
		return false
	}
	p.state = itemDone
	l.removeFromWaiting(r, p)
	r.Pending = append(r.Pending, result)
	return true
}

// AddPartial keeps the beginning of an answer for an item that has not started, unless a longer one is known.
func (r *Record) AddPartial(partial PartialAnswer) {
	p, ok := r.items[partial.Item]
	if ok && p.state == itemWaiting && (p.partial == nil || p.partial.Events < partial.Events) {
		p.partial = &partial
	}
}

// AddFailures keeps the number of an item's failures for its next run. The same report may come twice, so the largest number counts.
func (r *Record) AddFailures(f ItemFailures) {
	if p, ok := r.items[f.Item]; ok {
		p.failures = max(p.failures, f.Count)
	}
}

// Failures returns the failures of earlier runs of the items that have no result.
func (r *Record) Failures() (list []ItemFailures) {
	for _, i := range r.Job.Items {
		if p := r.items[i.ID]; p.state != itemDone && p.failures > 0 {
			list = append(list, ItemFailures{Item: i.ID, Count: p.failures})
		}
	}
	return list
}

// Requeue makes an item waiting again whose run ended without a result.
func (l *Ledger) Requeue(r *Record, id ItemID) {
	if p, ok := r.items[id]; ok && p.state == itemRunning {
		p.state = itemWaiting
	}
}

// EndJob stops a job; none of its items runs any more.
func (l *Ledger) EndJob(r *Record) {
	if r.Ended {
		return
	}
	r.Ended = true
	for _, p := range r.items {
		l.removeFromWaiting(r, p)
		p.item, p.partial = p.item.withoutInput(), nil
	}
	r.notifyChanged()
	r.markStopped()
}

func (r *Record) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Record) markStopped() {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

// Stopped returns a channel that is closed when the job's items must no longer run on this host.
func (r *Record) Stopped() <-chan struct{} { return r.stopped }

// Open reports whether the job still lacks visible results and was not ended.
func (r *Record) Open() bool {
	return !r.Ended && len(r.Results) < len(r.Job.Items)
}

// AllDone reports whether every item has a result, visible or not.
func (r *Record) AllDone() bool {
	return len(r.Results)+len(r.Pending) >= len(r.Job.Items)
}

// Changed returns a channel that is closed when results become visible, the job is ended or its shard is dropped.
func (r *Record) Changed() <-chan struct{} { return r.changed }

// Item returns an item. Once its result is visible or the job is ended it has no input.
func (r *Record) Item(id ItemID) (i Item, ok bool) {
	p, ok := r.items[id]
	if !ok {
		return i, false
	}
	return p.item, true
}

// Expired returns the unfinished items of a job once its GiveUpAt has passed by the owner's clock of elapsed time.
func (r *Record) Expired(now time.Time) (list []ItemID) {
	if !r.Open() || now.Before(r.GiveUpAt) {
		return nil
	}
	for _, i := range r.Job.Items {
		if r.items[i.ID].state != itemDone {
			list = append(list, i.ID)
		}
	}
	return list
}

// Records returns the jobs of a shard.
func (l *Ledger) Records(s Shard) (list []*Record) {
	for _, r := range l.jobs {
		if r.Shard == s {
			list = append(list, r)
		}
	}
	return list
}

// DropShard removes the jobs of a shard and stops their runs.
func (l *Ledger) DropShard(s Shard) {
	for id, r := range l.jobs {
		if r.Shard != s {
			continue
		}
		for _, p := range r.items {
			l.removeFromWaiting(r, p)
		}
		delete(l.jobs, id)
		r.notifyChanged()
		r.markStopped()
	}
}

// WaitingTokens returns the number of waiting tokens of a workspace on a route.
func (l *Ledger) WaitingTokens(w ids.WorkspaceID, route string) int64 {
	return l.waiting[capKey{w, route}]
}

// Page returns the visible results from a position on and the next position. It stops before maxBytes is
// exceeded, but returns at least one result if there is one.
func (r *Record) Page(after, maxBytes int) (list []Result, next int) {
	size := 0
	next = min(max(after, 0), len(r.Results))
	for _, rs := range r.Results[next:] {
		size += rs.EncodedSize()
		if len(list) > 0 && size > maxBytes {
			break
		}
		list = append(list, rs)
		next++
	}
	return list, next
}

// RemoveJob removes a job that isn't open. Unlike DropShard it stops no runs and notifies no reader.
func (l *Ledger) RemoveJob(r *Record) {
	for _, p := range r.items {
		l.removeFromWaiting(r, p)
	}
	delete(l.jobs, r.Job.ID)
}
