// Package batch decides which items of which jobs run next and when a job is done.
package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Queue is the state of the jobs that a host owns.
type Queue struct {
	maxAttempts int
	itemTimeout time.Duration
	jobs        map[ids.JobID]*job
	spaces      map[ids.WorkspaceID]*space
	// served is the virtual time of the fair queue: that of the last item given out.
	served float64
}

// space is a workspace's place in the fair queue.
type space struct {
	weight  float64
	virtual float64
	running int
}

// NewQueue returns a queue that gives each item a number of attempts, each of
// which is taken for lost after a timeout.
func NewQueue(maxAttempts int, itemTimeout time.Duration) *Queue {
	return &Queue{
		maxAttempts: maxAttempts,
		itemTimeout: itemTimeout,
		jobs:        map[ids.JobID]*job{},
		spaces:      map[ids.WorkspaceID]*space{},
	}
}

// Step applies one event and returns the commands that follow from it.
func (q *Queue) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case JobLoaded:
		return q.loaded(e)
	case ItemsRequested:
		return q.asked(now, e)
	case ItemFinished:
		return q.finished(e)
	case ItemReturned:
		return q.returned(e)
	case ResultsCommitted:
		return q.committed(e)
	case CancelRequested:
		return q.cancel(e)
	case ManagersChanged:
		return q.takeBack(func(r run) bool { return !slices.Contains(e.Hosts, r.manager) }, ItemReturned{Yielded: true})
	case Tick:
		return q.takeBack(func(r run) bool { return !now.Before(r.expires) }, ItemReturned{Reason: "no result within the item's time limit"})
	case JobPaused:
		if j := q.jobs[e.Job]; j != nil {
			j.held = e.Paused
		}
	case JobDropped:
		q.drop(e.Job)
	}
	return nil
}

// Jobs returns the jobs held, ordered by id.
func (q *Queue) Jobs() (list []Progress) {
	for _, j := range q.jobs {
		list = append(list, j.progress())
	}
	slices.SortFunc(list, func(x, y Progress) int { return cmp.Compare(x.Job.ID, y.Job.ID) })
	return list
}

// Progress returns how far a job is.
func (q *Queue) Progress(id ids.JobID) (p Progress, ok bool) {
	j := q.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	return j.progress(), true
}

// Pending returns how many items of a service wait to be run.
func (q *Queue) Pending(s ids.ServiceName) (n int) {
	for _, j := range q.jobs {
		if j.Service == s {
			n += j.pending()
		}
	}
	return n
}

func (q *Queue) loaded(e JobLoaded) []Command {
	if q.jobs[e.Job.ID] != nil {
		return nil
	}
	j := &job{
		Job:       e.Job,
		committed: NewBitmap(e.Job.Items),
		finished:  NewBitmap(e.Job.Items),
		running:   map[ids.ItemIndex]run{},
		attempts:  map[ids.ItemIndex]int{},
	}
	for _, r := range e.Results {
		if j.committed.Set(r.Index) && r.Failed {
			j.failed++
		}
		j.finished.Set(r.Index)
	}
	q.jobs[j.ID] = j
	q.space(j.Workspace).weight = max(e.Weight, minWeight)
	return j.closeIfDone()
}

const minWeight = 0.001

func (q *Queue) space(w ids.WorkspaceID) *space {
	s := q.spaces[w]
	if s == nil {
		s = &space{weight: 1, virtual: q.served}
		q.spaces[w] = s
	}
	return s
}

// asked gives out items one at a time, each to the workspace that is furthest
// behind its share, there to the job that is due first.
func (q *Queue) asked(now time.Time, e ItemsRequested) []Command {
	d := AssignItems{Manager: e.Manager}
	for range e.Max {
		j := q.choose(e.Service)
		if j == nil {
			break
		}
		i := j.take()
		s := q.space(j.Workspace)
		s.running++
		j.running[i] = run{e.Manager, now.Add(q.itemTimeout)}
		q.served = s.virtual
		s.virtual += 1 / s.weight
		d.Items = append(d.Items, ItemRef{j.ID, i})
	}
	if len(d.Items) == 0 {
		return nil
	}
	return []Command{d}
}

func (q *Queue) choose(s ids.ServiceName) (best *job) {
	for _, j := range q.jobs {
		if j.Service != s || j.pending() == 0 {
			continue
		}
		sp := q.space(j.Workspace)
		// A workspace that had nothing to run doesn't save up its turns.
		if sp.running == 0 {
			sp.virtual = max(sp.virtual, q.served)
		}
		if best == nil || q.before(j, best) {
			best = j
		}
	}
	return best
}

func (q *Queue) before(x, y *job) bool {
	if c := cmp.Compare(q.space(x.Workspace).virtual, q.space(y.Workspace).virtual); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(x.Workspace, y.Workspace); c != 0 {
		return c < 0
	}
	if c := x.Deadline.Compare(y.Deadline); c != 0 {
		return c < 0
	}
	return x.ID < y.ID
}

func (q *Queue) finished(e ItemFinished) []Command {
	j := q.jobs[e.Result.Job]
	if j == nil || j.closing || int(e.Result.Index) >= j.Items {
		return nil
	}
	q.stopRunning(j, e.Result.Index)
	if !j.finished.Set(e.Result.Index) {
		return nil
	}
	delete(j.attempts, e.Result.Index)
	return []Command{StoreResult(e)}
}

func (q *Queue) returned(e ItemReturned) []Command {
	j := q.jobs[e.Item.Job]
	if j == nil || j.finished.Has(e.Item.Index) {
		return nil
	}
	if r, known := j.running[e.Item.Index]; !known || r.manager != e.Manager {
		return nil
	}
	q.stopRunning(j, e.Item.Index)
	if e.Yielded {
		j.again = append(j.again, e.Item.Index)
		return j.closeIfDone()
	}
	j.attempts[e.Item.Index]++
	if j.attempts[e.Item.Index] >= q.maxAttempts || e.Poisonous {
		return []Command{FailItem{e.Item, e.Reason}}
	}
	j.again = append(j.again, e.Item.Index)
	return j.closeIfDone()
}

func (q *Queue) committed(e ResultsCommitted) (cmds []Command) {
	for _, r := range e.Results {
		j := q.jobs[r.Job]
		if j == nil {
			continue
		}
		if j.committed.Set(r.Index) && r.Failed {
			j.failed++
		}
	}
	for _, r := range e.Results {
		if j := q.jobs[r.Job]; j != nil {
			cmds = append(cmds, j.closeIfDone()...)
		}
	}
	return cmds
}

func (q *Queue) cancel(e CancelRequested) (cmds []Command) {
	j := q.jobs[e.Job]
	if j == nil || j.State != Open {
		return nil
	}
	j.State = Cancelling
	managers := map[ids.HostID]bool{}
	for _, r := range j.running {
		managers[r.manager] = true
	}
	for _, h := range slices.Sorted(maps.Keys(managers)) {
		cmds = append(cmds, CancelItems{Manager: h, Job: j.ID})
	}
	q.space(j.Workspace).running -= len(j.running)
	clear(j.running)
	return append(cmds, j.closeIfDone()...)
}

func (q *Queue) stopRunning(j *job, i ids.ItemIndex) {
	if _, known := j.running[i]; known {
		delete(j.running, i)
		q.space(j.Workspace).running--
	}
}

func (q *Queue) drop(id ids.JobID) {
	if j := q.jobs[id]; j != nil {
		q.space(j.Workspace).running -= len(j.running)
		delete(q.jobs, id)
	}
}

// takeBack returns the running items that the predicate selects.
func (q *Queue) takeBack(lost func(run) bool, as ItemReturned) (cmds []Command) {
	for _, id := range slices.Sorted(maps.Keys(q.jobs)) {
		j := q.jobs[id]
		for _, i := range slices.Sorted(maps.Keys(j.running)) {
			r := j.running[i]
			if !lost(r) {
				continue
			}
			as.Item, as.Manager = ItemRef{j.ID, i}, r.manager
			cmds = append(cmds, q.returned(as)...)
		}
	}
	return cmds
}
