package bulk

import (
	"sort"

	"verbenaledge.example/verbena/ids"
)

// Queue identifies the items of a workspace on one route. Each has a cap on waiting tokens, and a share of an owner's runs.
type Queue struct {
	Workspace ids.WorkspaceID
	Route     string
}

// Queue returns the queue of the job's items.
func (j *Job) Queue() Queue { return Queue{Workspace: j.Workspace, Route: j.Route} }

// queueCounts counts the items of a queue that have no result yet.
type queueCounts struct{ running, waiting int }

// StartedItem is an item that StartItems has marked as running.
type StartedItem struct {
	Record *Record
	Item   Item
	// PartialAnswer is the beginning of its answer that a former owner reported, or nil.
	PartialAnswer *PartialAnswer
}

// StartItems marks up to n waiting items as running and returns them in the order of their jobs' due times, first those of queues
// that have fewer than their share of limit.
func (l *Ledger) StartItems(n, limit int) (list []StartedItem) {
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
	counts := l.countQueues()
	share := shareOf(limit, len(counts))
	for _, r := range records {
		c, ok := counts[r.Job.Queue()]
		if !ok {
			continue
		}
		started := r.startItems(min(n-len(list), share-c.running))
		c.running += len(started)
		list = append(list, started...)
	}
	for _, r := range records {
		list = append(list, r.startItems(n-len(list))...)
	}
	return list
}

// startItems marks up to n waiting items of a job as running.
func (r *Record) startItems(n int) (list []StartedItem) {
	for _, i := range r.Job.Items {
		if len(list) >= n {
			break
		}
		p := r.items[i.ID]
		if p.state != itemWaiting {
			continue
		}
		p.state = itemRunning
		list = append(list, StartedItem{Record: r, Item: p.item, PartialAnswer: p.partial})
		p.partial = nil
	}
	return list
}

// Excess returns how many runs each queue has to give up, so that queues with fewer than their share of limit can start the items
// that they have waiting. free is the number of further runs that can start.
func (l *Ledger) Excess(free, limit int) map[Queue]int {
	counts := l.countQueues()
	share := shareOf(limit, len(counts))
	need := -free
	over := make([]Queue, 0, len(counts))
	for q, c := range counts {
		if c.running > share {
			over = append(over, q)
		}
		need += min(max(0, share-c.running), c.waiting)
	}
	sort.Slice(over, func(i, j int) bool { return counts[over[i]].running > counts[over[j]].running })
	excess := make(map[Queue]int)
	for _, q := range over {
		if n := min(need, counts[q].running-share); n > 0 {
			excess[q] = n
			need -= n
		}
	}
	return excess
}

// countQueues counts the items of open jobs that have no result yet, of each queue that has any.
func (l *Ledger) countQueues() map[Queue]*queueCounts {
	counts := make(map[Queue]*queueCounts)
	for _, r := range l.jobs {
		if !r.Open() || r.AwaitingProgress {
			continue
		}
		c := counts[r.Job.Queue()]
		if c == nil {
			c = &queueCounts{}
			counts[r.Job.Queue()] = c
		}
		for _, p := range r.items {
			switch p.state {
			case itemWaiting:
				c.waiting++
			case itemRunning:
				c.running++
			case itemDone:
			}
		}
	}
	for q, c := range counts {
		if c.waiting+c.running == 0 {
			delete(counts, q)
		}
	}
	return counts
}

// shareOf returns how many runs each of some queues has for sure.
func shareOf(limit, queues int) int { return max(1, limit/max(1, queues)) }
