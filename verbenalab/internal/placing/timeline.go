package placing

import (
	"container/heap"
	"time"
)

// timeline executes scheduled calls in the order of their times, without waiting.
type timeline struct {
	now    time.Duration
	serial int
	queue  callQueue
}

func (t *timeline) schedule(d time.Duration, f func()) {
	t.serial++
	heap.Push(&t.queue, timedCall{at: t.now + d, serial: t.serial, call: f})
}

func (t *timeline) runUntil(end time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= end {
		c := heap.Pop(&t.queue).(timedCall)
		t.now = c.at
		c.call()
	}
}

type timedCall struct {
	at     time.Duration
	serial int
	call   func()
}

type callQueue []timedCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(timedCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
