package bulk

import (
	"sort"

	"verbenaledge.example/verbena/ids"
)

// Shares divides the runs of an owner among the services that its items wait for, so that a service without free slots doesn't
// take them all. Items of one service run in the order of their jobs' due times.
type Shares struct {
	// Limit is how many items may run or wait for a slot.
	Limit int
	// ServiceOf returns the service that a route leads to.
	ServiceOf func(route string) ids.ServiceName
}

// itemCounts counts the items of a service that have no result yet.
type itemCounts struct{ running, waiting int }

// StartedItem is an item that StartItems has marked as running.
type StartedItem struct {
	Record *Record
	Item   Item
	// PartialAnswer is the beginning of its answer that a former owner reported, or nil.
	PartialAnswer *PartialAnswer
	// Failures counts the answers of 500 that it has had in earlier runs.
	Failures int
}

// StartItems marks up to n waiting items as running and returns them in the order of their jobs' due times, first those of services
// with fewer than their share of the runs.
func (l *Ledger) StartItems(n int, shares Shares) (list []StartedItem) {
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
	counts := l.countItems(shares)
	share := shares.share(len(counts))
	for _, r := range records {
		c, ok := counts[shares.ServiceOf(r.Job.Route)]
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
		list = append(list, StartedItem{Record: r, Item: p.item, PartialAnswer: p.partial, Failures: p.failures})
		p.partial = nil
	}
	return list
}

// Excess returns how many runs of each service have to end, so that services with fewer than their share can start the items that
// wait for them. free is the number of further runs that can start, and displaceable how many runs of each service can end.
func (l *Ledger) Excess(free int, displaceable map[ids.ServiceName]int, shares Shares) map[ids.ServiceName]int {
	counts := l.countItems(shares)
	share := shares.share(len(counts))
	need := -free
	over := make([]ids.ServiceName, 0, len(counts))
	for s, c := range counts {
		if c.running > share && displaceable[s] > 0 {
			over = append(over, s)
		}
		need += min(max(0, share-c.running), c.waiting)
	}
	sort.Slice(over, func(i, j int) bool {
		a, b := counts[over[i]].running, counts[over[j]].running
		return a > b || a == b && over[i] < over[j]
	})
	excess := make(map[ids.ServiceName]int)
	for _, s := range over {
		if n := min(need, counts[s].running-share, displaceable[s]); n > 0 {
			excess[s] = n
			need -= n
		}
	}
	return excess
}

// countItems counts the items of open jobs that have no result yet, of each service that has any.
func (l *Ledger) countItems(shares Shares) map[ids.ServiceName]*itemCounts {
	counts := make(map[ids.ServiceName]*itemCounts)
	for _, r := range l.jobs {
		if !r.Open() || r.AwaitingProgress {
			continue
		}
		waiting, running := r.countItems()
		if waiting+running == 0 {
			continue
		}
		service := shares.ServiceOf(r.Job.Route)
		c := counts[service]
		if c == nil {
			c = &itemCounts{}
			counts[service] = c
		}
		c.waiting += waiting
		c.running += running
	}
	return counts
}

func (r *Record) countItems() (waiting, running int) {
	for _, p := range r.items {
		switch p.state {
		case itemWaiting:
			waiting++
		case itemRunning:
			running++
		case itemDone:
		}
	}
	return waiting, running
}

// share returns how many runs each of some services has for sure.
func (s Shares) share(services int) int { return max(1, s.Limit/max(1, services)) }
