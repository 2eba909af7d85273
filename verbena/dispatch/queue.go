package dispatch

import (
	"sort"
	"time"
)

// waiter is an ask without a slot.
type waiter struct {
	key   Key
	ask   SlotRequest
	since time.Time
	// due is the last moment at which a start is in time; for batch, when the job is due.
	due time.Time
	// leave is when the caller's time ends.
	leave time.Time
	// late is set while a batch item is put off.
	late bool
	p    *pool
}

// queue is what waits, ordered by priority and then by due time; what is put off goes last.
type queue []*waiter

func (q *queue) add(w *waiter) {
	at := sort.Search(len(*q), func(i int) bool { return before(w, (*q)[i]) })
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

func before(a, b *waiter) bool {
	if a.ask.Priority != b.ask.Priority {
		return a.ask.Priority < b.ask.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return less(a.key, b.key)
}

// next returns the first that can still start in time, or else the first that waits.
func (q queue) next(now time.Time) *waiter {
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

// ordered returns what waits: what can still start in time goes first.
func (q queue) ordered(now time.Time) (all []*waiter) {
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

// inTime counts those that can still start in time; they go before all others.
func (q queue) inTime(now time.Time) (n int) {
	for _, w := range q {
		if !now.After(w.due) {
			n++
		}
	}
	return n
}
