package placing

import (
	"container/heap"
	"time"
)

// The model of a backend server, as the played days show them.
const (
	// eventTime is the time between two events of an answer on an idle server, firstTime that to the first.
	eventTime = 22 * time.Millisecond
	firstTime = 50 * time.Millisecond
	// crowding is how much slower each further running request makes all, as a share.
	crowding = 0.02
)

// server runs as many requests as it has slots and queues the others.
type server struct {
	slots   int
	ill     bool
	running int
	queue   []*send
}

// send is a request on its way through a server.
type send struct {
	events  int
	started func(at time.Duration)
	ended   func(at time.Duration)
	gone    bool
	runs    bool
}

// take starts or queues a request.
func (s *server) take(t *timeline, one *send) {
	if s.running >= s.slots {
		s.queue = append(s.queue, one)
		return
	}
	s.start(t, one)
}

func (s *server) start(t *timeline, one *send) {
	s.running++
	one.runs = true
	slower := 1 + crowding*float64(s.running-1)
	t.after(firstTime, func() {
		if !one.gone {
			one.started(t.now)
		}
	})
	whole := firstTime + time.Duration(float64(one.events)*slower*float64(eventTime))
	t.after(whole, func() {
		if !one.gone {
			one.gone = true
			s.free(t)
			one.ended(t.now)
		}
	})
}

// leave takes a request back whose caller has gone or that gives way.
func (s *server) leave(t *timeline, one *send) {
	if one.gone {
		return
	}
	one.gone = true
	if one.runs {
		s.free(t)
	}
}

func (s *server) free(t *timeline) {
	s.running--
	for len(s.queue) > 0 && s.running < s.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.gone {
			s.start(t, next)
		}
	}
}

// timeline runs what is due in the order of time.
type timeline struct {
	now    time.Duration
	serial int
	due    moments
}

func (t *timeline) after(d time.Duration, f func()) {
	t.serial++
	heap.Push(&t.due, moment{at: t.now + d, serial: t.serial, do: f})
}

func (t *timeline) run(until time.Duration) {
	for len(t.due) > 0 && t.due[0].at <= until {
		m := heap.Pop(&t.due).(moment)
		t.now = m.at
		m.do()
	}
}

type moment struct {
	at     time.Duration
	serial int
	do     func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].serial < m[j].serial
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}
