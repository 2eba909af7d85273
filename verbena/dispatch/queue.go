package dispatch

import (
	"sort"
	"time"

	"verbenaledge.example/verbena/fairness"
)

// waiter is a slot request that waits.
type waiter struct {
	key     Key
	request SlotRequest
	since   time.Time
	// due is the latest time for a start in time; for batch, when the job is due.
	due time.Time
	// deadline is when the caller's time ends, or the batch item is given up.
	deadline time.Time
	// deferred is set while the batch plan defers the item.
	deferred bool
	// standing is the workspace's while room is short.
	standing fairness.Standing
	pool     *pool
	judged   judgedRequest
	// lacksRoom is set while the request waits for memory although slots are free.
	lacksRoom bool
	// resumption is set for a resumed stream.
	resumption *ResumptionInputs
	// list is set if the list of servers must have been confirmed since the request came.
	list *listView
}

// queue is ordered by priority and then by due time; within a priority, deferred items are last, and otherwise the requests of
// workspaces beyond their share.
type queue []*waiter

func (q *queue) add(w *waiter) {
	at := sort.Search(len(*q), func(i int) bool { return waitsBefore(w, (*q)[i]) })
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = w
}

func (q *queue) remove(w *waiter) {
	for i, o := range *q {
		if o == w {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return
		}
	}
}

func waitsBefore(a, b *waiter) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if a.deferred != b.deferred {
		return b.deferred
	}
	if beyond := a.standing == fairness.Beyond; beyond != (b.standing == fairness.Beyond) {
		return !beyond
	}
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return keyLess(a.key, b.key)
}

// firstInTime returns the first request that can still start in time, or else the first of the queue.
func (q queue) firstInTime(now time.Time) *waiter {
	for _, w := range q {
		if !now.After(w.due) {
			return w
		}
	}
	if len(q) > 0 {
		return q[0]
	}
	return nil
}

// withoutResumed returns the requests that aren't resumed streams; it is the queue itself if there are no others.
func (q queue) withoutResumed() queue {
	n := 0
	for _, w := range q {
		if w.resumption != nil {
			n++
		}
	}
	if n == 0 {
		return q
	}
	others := make(queue, 0, len(q)-n)
	for _, w := range q {
		if w.resumption == nil {
			others = append(others, w)
		}
	}
	return others
}

// inTimeFirst returns all requests of the queue, those first that can still start in time.
func (q queue) inTimeFirst(now time.Time) (all []*waiter) {
	var late []*waiter
	for _, w := range q {
		if now.After(w.due) {
			late = append(late, w)
			continue
		}
		all = append(all, w)
	}
	return append(all, late...)
}

// countInTime counts the requests that can still start in time; they are served before all others.
func (q queue) countInTime(now time.Time) (n int) {
	for _, w := range q {
		if !now.After(w.due) {
			n++
		}
	}
	return n
}
