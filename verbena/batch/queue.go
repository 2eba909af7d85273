// Package batch schedules the items of batch jobs and decides when a job is done.
// It also defines the stored forms of jobs, input files and results.
package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// Queue schedules the items of the jobs that a host owns.
type Queue struct {
	maxAttempts int
	itemTimeout time.Duration
	jobs        map[ids.JobID]*openJob
	shares      map[ids.WorkspaceID]*fairShare
	// virtualTime is the fair queue's virtual time: the start time of the item assigned last.
	virtualTime float64
}

// fairShare is a workspace's state in the fair queue.
type fairShare struct {
	weight      float64
	virtualTime float64
	running     int
}

// NewQueue returns a queue that allows each item a number of attempts, each of which
// is considered lost after a timeout.
func NewQueue(maxAttempts int, itemTimeout time.Duration) *Queue {
	return &Queue{
		maxAttempts: maxAttempts,
		itemTimeout: itemTimeout,
		jobs:        map[ids.JobID]*openJob{},
		shares:      map[ids.WorkspaceID]*fairShare{},
	}
}

// Step applies one event and returns the resulting commands.
func (q *Queue) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case JobLoaded:
		return q.addJob(e)
	case ItemsRequested:
		return q.assignItems(now, e)
	case ItemFinished:
		return q.recordResult(e)
	case ItemReturned:
		return q.handleReturn(e)
	case ResultsCommitted:
		return q.markCommitted(e)
	case CancelRequested:
		return q.cancelJob(e)
	case ManagersChanged:
		return q.reclaimItems(func(r assignment) bool { return !slices.Contains(e.Hosts, r.manager) }, ItemReturned{Yielded: true})
	case Tick:
		return q.reclaimItems(func(r assignment) bool { return !now.Before(r.expiresAt) }, ItemReturned{Reason: "no result within the item's time limit"})
	case JobPaused:
		if j := q.jobs[e.Job]; j != nil {
			j.paused = e.Paused
		}
	case JobDropped:
		q.dropJob(e.Job)
	}
	return nil
}

// Jobs returns the progress of all jobs, ordered by id.
func (q *Queue) Jobs() (list []Progress) {
	for _, j := range q.jobs {
		list = append(list, j.progress())
	}
	slices.SortFunc(list, func(x, y Progress) int { return cmp.Compare(x.Job.ID, y.Job.ID) })
	return list
}

// Progress returns the progress of a job.
func (q *Queue) Progress(id ids.JobID) (p Progress, ok bool) {
	j := q.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	return j.progress(), true
}

// Pending returns the number of items of a service that are not assigned yet.
func (q *Queue) Pending(s ids.ServiceName) (n int) {
	for _, j := range q.jobs {
		if j.Service == s {
			n += j.pending()
		}
	}
	return n
}

func (q *Queue) addJob(e JobLoaded) []Command {
	if q.jobs[e.Job.ID] != nil {
		return nil
	}
	j := &openJob{
		Job:       e.Job,
		committed: NewBitmap(e.Job.Items),
		finished:  NewBitmap(e.Job.Items),
		running:   map[ids.ItemIndex]assignment{},
		attempts:  map[ids.ItemIndex]int{},
	}
	for _, r := range e.Results {
		if j.committed.Set(r.Index) && r.Failed {
			j.failed++
		}
		j.finished.Set(r.Index)
	}
	q.jobs[j.ID] = j
	q.shareOf(j.Workspace).weight = max(e.Weight, minWeight)
	return j.closeIfDone()
}

// minWeight prevents a division by zero for a workspace without a batch weight.
const minWeight = 0.001

func (q *Queue) shareOf(w ids.WorkspaceID) *fairShare {
	f := q.shares[w]
	if f == nil {
		f = &fairShare{weight: 1, virtualTime: q.virtualTime}
		q.shares[w] = f
	}
	return f
}

// assignItems assigns items one at a time. Each comes from the workspace that is
// furthest behind its share and, within it, from the job with the earliest deadline.
func (q *Queue) assignItems(now time.Time, e ItemsRequested) []Command {
	cmd := AssignItems{Manager: e.Manager}
	for range e.Max {
		j := q.nextJob(e.Service)
		if j == nil {
			break
		}
		i := j.takeNext()
		share := q.shareOf(j.Workspace)
		share.running++
		j.running[i] = assignment{e.Manager, now.Add(q.itemTimeout)}
		q.virtualTime = share.virtualTime
		share.virtualTime += 1 / share.weight
		cmd.Items = append(cmd.Items, ItemRef{j.ID, i})
	}
	if len(cmd.Items) == 0 {
		return nil
	}
	return []Command{cmd}
}

func (q *Queue) nextJob(s ids.ServiceName) (best *openJob) {
	for _, j := range q.jobs {
		if j.Service != s || j.pending() == 0 {
			continue
		}
		share := q.shareOf(j.Workspace)
		// An idle workspace doesn't accumulate credit.
		if share.running == 0 {
			share.virtualTime = max(share.virtualTime, q.virtualTime)
		}
		if best == nil || q.runsBefore(j, best) {
			best = j
		}
	}
	return best
}

func (q *Queue) runsBefore(x, y *openJob) bool {
	if c := cmp.Compare(q.shareOf(x.Workspace).virtualTime, q.shareOf(y.Workspace).virtualTime); c != 0 {
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

func (q *Queue) recordResult(e ItemFinished) []Command {
	j := q.jobs[e.Result.Job]
	if j == nil || j.closing || int(e.Result.Index) >= j.Items {
		return nil
	}
	q.endRun(j, e.Result.Index)
	if !j.finished.Set(e.Result.Index) {
		return nil
	}
	delete(j.attempts, e.Result.Index)
	return []Command{StoreResult(e)}
}

func (q *Queue) handleReturn(e ItemReturned) []Command {
	j := q.jobs[e.Item.Job]
	if j == nil || j.finished.Has(e.Item.Index) {
		return nil
	}
	if r, known := j.running[e.Item.Index]; !known || r.manager != e.Manager {
		return nil
	}
	q.endRun(j, e.Item.Index)
	if e.Yielded || e.Crashed {
		j.requeued = append(j.requeued, e.Item.Index)
		return j.closeIfDone()
	}
	j.attempts[e.Item.Index]++
	if j.attempts[e.Item.Index] >= q.maxAttempts {
		return []Command{FailItem{e.Item, e.Reason}}
	}
	j.requeued = append(j.requeued, e.Item.Index)
	return j.closeIfDone()
}

func (q *Queue) markCommitted(e ResultsCommitted) (cmds []Command) {
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

func (q *Queue) cancelJob(e CancelRequested) (cmds []Command) {
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
	q.shareOf(j.Workspace).running -= len(j.running)
	clear(j.running)
	return append(cmds, j.closeIfDone()...)
}

func (q *Queue) endRun(j *openJob, i ids.ItemIndex) {
	if _, known := j.running[i]; known {
		delete(j.running, i)
		q.shareOf(j.Workspace).running--
	}
}

func (q *Queue) dropJob(id ids.JobID) {
	if j := q.jobs[id]; j != nil {
		q.shareOf(j.Workspace).running -= len(j.running)
		delete(q.jobs, id)
	}
}

// reclaimItems handles the running items for which lost is true like items that their
// manager returned. The template holds the fields that they have in common.
func (q *Queue) reclaimItems(lost func(assignment) bool, template ItemReturned) (cmds []Command) {
	for _, id := range slices.Sorted(maps.Keys(q.jobs)) {
		j := q.jobs[id]
		for _, i := range slices.Sorted(maps.Keys(j.running)) {
			r := j.running[i]
			if !lost(r) {
				continue
			}
			template.Item, template.Manager = ItemRef{j.ID, i}, r.manager
			cmds = append(cmds, q.handleReturn(template)...)
		}
	}
	return cmds
}
