package bulk

import (
	"sort"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Ledger is what an owner knows of the jobs of its shards. It is used by one goroutine.
type Ledger struct {
	jobs    map[ids.JobID]*Record
	waiting map[account]int64
}

// account is what a cap on waiting tokens is counted by.
type account struct {
	workspace ids.WorkspaceID
	route     string
}

// Record is one job with its progress.
type Record struct {
	Job   Job
	Shard Shard
	// Log is the results in their final order, of Segments writes.
	Results  []Result
	Segments int
	// Pending results are done but not yet visible.
	Pending []Result
	Ended   bool
	// Held keeps items from starting: a former owner may still tell how far they are.
	AwaitingProgress bool

	items   map[ItemID]*progress
	changed chan struct{}
	stopped chan struct{}
}

type progress struct {
	item    Item
	state   itemState
	counted bool
	// begun is the beginning of its answer, if a former owner had one.
	begun *PartialAnswer
}

type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	itemDone
)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{jobs: make(map[ids.JobID]*Record), waiting: make(map[account]int64)}
}

// Job finds a job of a workspace; a job of another workspace is none.
func (l *Ledger) Job(id ids.JobID, w ids.WorkspaceID) (r *Record, ok bool) {
	r, ok = l.jobs[id]
	if !ok || r.Job.Workspace != w {
		return nil, false
	}
	return r, true
}

// Reserve counts the tokens of a job against its cap, if they fit. 0 means no cap.
func (l *Ledger) ReserveTokens(j *Job, most int64) bool {
	a := account{j.Workspace, j.Route}
	if most > 0 && l.waiting[a]+j.Tokens() > most {
		return false
	}
	l.waiting[a] += j.Tokens()
	return true
}

// Free gives back the reservation of a job that was not accepted.
func (l *Ledger) ReleaseTokens(j *Job) {
	l.waiting[account{j.Workspace, j.Route}] -= j.Tokens()
}

// Add takes an accepted job. reserved tells that its tokens are counted already.
func (l *Ledger) Add(j Job, s Shard, reserved bool) *Record {
	if r, ok := l.jobs[j.ID]; ok {
		if reserved {
			l.ReleaseTokens(&j)
		}
		return r
	}
	r := &Record{Job: j, Shard: s, items: make(map[ItemID]*progress, len(j.Items)), changed: make(chan struct{}), stopped: make(chan struct{})}
	for _, i := range j.Items {
		r.items[i.ID] = &progress{item: i, counted: true}
		if !reserved {
			l.waiting[account{j.Workspace, j.Route}] += i.Tokens
		}
	}
	l.jobs[j.ID] = r
	return r
}

// Commit makes the results of the next segment visible. Items that have a place already are left out.
func (l *Ledger) Commit(r *Record, s Segment) {
	for _, one := range s.Results {
		p, ok := r.items[one.Item]
		if !ok || r.IsVisible(one.Item) {
			continue
		}
		l.uncount(r, p)
		p.state = itemDone
		p.item.Body = nil
		r.Results = append(r.Results, one)
	}
	r.Segments++
	kept := r.Pending[:0]
	for _, one := range r.Pending {
		if !r.IsVisible(one.Item) {
			kept = append(kept, one)
		}
	}
	r.Pending = kept
	r.signal()
}

// Listed tells whether an item's result is visible.
func (r *Record) IsVisible(id ItemID) bool {
	for _, one := range r.Results {
		if one.Item == id {
			return true
		}
	}
	return false
}

func (l *Ledger) uncount(r *Record, p *progress) {
	if p.counted {
		p.counted = false
		l.waiting[account{r.Job.Workspace, r.Job.Route}] -= p.item.Tokens
	}
}

// Finish takes an item's result; it becomes visible with a segment. news is false if there is one already.
func (l *Ledger) AddResult(r *Record, one Result) (news bool) {
	p, ok := r.items[one.Item]
	if !ok || p.state == itemDone {
		return false
	}
	p.state = itemDone
	l.uncount(r, p)
	r.Pending = append(r.Pending, one)
	return true
}

// Begin keeps the beginning of an answer for an item that has not started.
func (r *Record) AddPartial(b PartialAnswer) {
	p, ok := r.items[b.Item]
	if ok && p.state == itemWaiting && (p.begun == nil || p.begun.Events < b.Events) {
		p.begun = &b
	}
}

// Return puts an item back that ended without a result.
func (l *Ledger) Requeue(r *Record, id ItemID) {
	if p, ok := r.items[id]; ok && p.state == itemRunning {
		p.state = itemWaiting
	}
}

// End stops a job: nothing more of it runs.
func (l *Ledger) EndJob(r *Record) {
	if r.Ended {
		return
	}
	r.Ended = true
	for _, p := range r.items {
		l.uncount(r, p)
	}
	r.signal()
	r.stop()
}

func (r *Record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Record) stop() {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

// Stopped is closed when nothing more of the job runs here.
func (r *Record) Stopped() <-chan struct{} { return r.stopped }

// Open tells whether results are still to come.
func (r *Record) Open() bool {
	return !r.Ended && len(r.Results) < len(r.Job.Items)
}

// Finished tells whether every item has a result, visible or not.
func (r *Record) AllDone() bool {
	return len(r.Results)+len(r.Pending) >= len(r.Job.Items)
}

// Changed is closed at the next change of the log.
func (r *Record) Changed() <-chan struct{} { return r.changed }

// Item returns an item that is not listed yet, with its body.
func (r *Record) Item(id ItemID) (i Item, ok bool) {
	p, ok := r.items[id]
	if !ok {
		return i, false
	}
	return p.item, true
}

// Runnable is an item that may run.
type Runnable struct {
	Record *Record
	Item   Item
	// Begun is the beginning of its answer, or nil.
	PartialAnswer *PartialAnswer
}

// Start marks up to n waiting items as running, the most urgent first, and returns them.
func (l *Ledger) StartItems(n int) (list []Runnable) {
	if n <= 0 {
		return nil
	}
	records := make([]*Record, 0, len(l.jobs))
	for _, r := range l.jobs {
		if r.Open() && !r.AwaitingProgress {
			records = append(records, r)
		}
	}
	sort.Slice(records, func(i, j int) bool {
		a, b := records[i].Job, records[j].Job
		if !a.Due.Equal(b.Due) {
			return a.Due.Before(b.Due)
		}
		return a.ID < b.ID
	})
	for _, r := range records {
		for _, i := range r.Job.Items {
			p := r.items[i.ID]
			if p.state != itemWaiting {
				continue
			}
			if len(list) == n {
				return list
			}
			p.state = itemRunning
			list = append(list, Runnable{Record: r, Item: p.item, PartialAnswer: p.begun})
			p.begun = nil
		}
	}
	return list
}

// Expired returns the waiting and running items of a job whose time is over.
func (r *Record) Expired(now time.Time) (list []ItemID) {
	if !r.Open() || now.Before(r.Job.GiveUpAt) {
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

// Drop forgets the jobs of a shard.
func (l *Ledger) DropShard(s Shard) {
	for id, r := range l.jobs {
		if r.Shard != s {
			continue
		}
		for _, p := range r.items {
			l.uncount(r, p)
		}
		delete(l.jobs, id)
		r.signal()
		r.stop()
	}
}

// Waiting is the number of tokens that wait on a workspace's route.
func (l *Ledger) WaitingTokens(w ids.WorkspaceID, route string) int64 {
	return l.waiting[account{w, route}]
}

// Slice returns the visible results from a position on, at least one if there is one and at most
// about a number of bytes.
func (r *Record) Page(after, most int) (list []Result, next int) {
	size := 0
	next = min(max(after, 0), len(r.Results))
	for _, one := range r.Results[next:] {
		size += len(one.Output) + len(one.Item)
		if len(list) > 0 && size > most {
			break
		}
		list = append(list, one)
		next++
	}
	return list, next
}

// Remove forgets one job.
func (l *Ledger) RemoveJob(r *Record) {
	for _, p := range r.items {
		l.uncount(r, p)
	}
	delete(l.jobs, r.Job.ID)
}
