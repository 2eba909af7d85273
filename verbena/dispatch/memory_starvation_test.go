package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// starvationModel is small requests that arrive in turn and run for as long as others.
type starvationModel struct {
	*memoryModel
	ends []endTime
}

type endTime struct {
	at  time.Time
	key Key
}

func (m *starvationModel) endDue() {
	for len(m.ends) > 0 && !m.ends[0].at.After(m.now) {
		k := m.ends[0].key
		m.ends = m.ends[1:]
		delete(m.running, k)
		m.step(SendEnded{Host: k.Host, Outcome: Outcome{
			Ticket: k.Ticket, Result: Served, StreamEvents: 1, Elapsed: smallRunTime, TimeToFirstByte: 20 * time.Millisecond,
		}})
	}
}

const smallRunTime = 400 * time.Millisecond

// TestLargeRequestsStart guards against large requests and items that starve as small ones take all memory that becomes free, and
// against small ones that are refused or late for their sake: four servers are half full.
func TestLargeRequestsStart(t *testing.T) {
	for _, size := range []int{5000, 7000, 9000} {
		c := qt.New(t)
		m := &starvationModel{memoryModel: newMemoryModel(4, 16)}
		request := func(t Ticket, size int, class Class) Key {
			k, r := Key{Host: "f1", Ticket: t}, SlotRequest{Ticket: t, Service: "llm", Class: class, PromptTokens: size, StreamEvents: 1}
			r.Objective, r.Remaining, r.FirstAttemptTime = 2*time.Second, 10*time.Second, 10*time.Second
			if class == Batch {
				r.Objective, r.Remaining = time.Hour, 2*time.Hour
			}
			m.requests[k] = r
			m.step(SlotRequested{Host: k.Host, Request: r})
			return k
		}
		start := m.now
		var largeStarted, itemStarted time.Duration
		large, item := Key{Host: "f1", Ticket: 1}, Key{Host: "f1", Ticket: 2}
		late := 0
		for i := range Ticket(600) {
			m.now = start.Add(time.Duration(i) * 20 * time.Millisecond)
			m.endDue()
			if i == 100 {
				request(1, size, Online)
				request(2, size, Batch)
			}
			k := request(10+i, 1000, Online)
			if _, ok := m.running[k]; !ok {
				late++
			}
			m.step(Tick{})
			for k := range m.running {
				if _, known := m.started[k]; known {
					continue
				}
				m.started[k] = m.now.Sub(start)
				m.ends = append(m.ends, endTime{m.now.Add(smallRunTime), k})
			}
		}
		largeStarted, itemStarted = m.started[large], m.started[item]
		c.Assert(largeStarted > 0 && largeStarted <= 4*time.Second, qt.IsTrue, qt.Commentf("size %d: the caller's request started after %v", size, largeStarted))
		c.Assert(itemStarted > 0 && itemStarted <= 6*time.Second, qt.IsTrue, qt.Commentf("size %d: the item started after %v", size, itemStarted))
		c.Assert(m.refused, qt.Equals, 0)
		c.Assert(late <= 30, qt.IsTrue, qt.Commentf("%d small requests waited", late))
		t.Logf("size %d: started after %v and %v, %d small requests waited", size, largeStarted-2*time.Second, itemStarted-2*time.Second, late)
	}
}
