// Package callerguard decides which connections of callers are kept while memory or descriptors are short. It handles crowds of
// clients that open connections without a request, send heads without an end, or send heads that are large once parsed. It does no
// input or output, and isn't safe for concurrent use.
package callerguard

import (
	"container/list"
	"time"
)

const (
	// ordinaryCost is the most that the head of an ordinary request costs: 2 KiB with 40 fields are 12 KiB.
	ordinaryCost = 16 << 10
	// costlyDivisor keeps heads of higher cost to half of the budget: they can't be closed once their requests run, and would
	// leave nothing for ordinary ones.
	costlyDivisor = 2
	// tightDivisor is the part of the connections that is free when room is made before it is needed.
	tightDivisor = 8
	// youngHead is the age below which an unfinished head is closed only if nothing else is left to close. The head of an
	// ordinary request arrives within a round trip.
	youngHead = 500 * time.Millisecond
)

// Budget bounds what all connections take together.
type Budget struct {
	// Connections is the number of connections.
	Connections int
	// HeadBytes is the memory for heads, unfinished ones and those of requests in progress.
	HeadBytes int64
}

// Pool is the set of open connections.
type Pool struct {
	budget Budget
	// used and costly are the reserved bytes, and those of costly heads.
	used, costly int64
	// unfinished are the reserved bytes of the heads that can still be closed.
	unfinished int64
	// open counts the connections until they are closed, leaving those among them that were asked to close.
	open, leaving int
	// queues hold the connections without a request by state, the oldest first.
	queues [running]*list.List
}

// NewPool returns a pool without connections.
func NewPool(b Budget) *Pool {
	p := &Pool{budget: b}
	for n := range p.queues {
		p.queues[n] = list.New()
	}
	return p
}

// Open adds a connection. At the limit another one without a request makes room; ok is false if there is none.
func (p *Pool) Open(m *Member, now time.Time) (ok bool) {
	if p.open-p.leaving >= p.budget.Connections {
		v := p.victim(now)
		if v == nil {
			return false
		}
		p.evict(v, NoConnections)
	}
	p.open++
	p.enter(m, unused, now)
	return true
}

// Resume takes back a connection that was asked to close, as a whole head has arrived on it. At the limit another one without a request
// makes room; ok is false if there is none, or if the connection is closed.
func (p *Pool) Resume(m *Member, now time.Time) (ok bool) {
	if !m.leaving {
		return m.state != gone
	}
	if p.open-p.leaving >= p.budget.Connections {
		v := p.victim(now)
		if v == nil {
			return false
		}
		p.evict(v, NoConnections)
	}
	m.leaving = false
	p.leaving--
	p.enter(m, unfinished, now)
	return true
}

// victim returns the connection that makes room for a new one: a head that takes long, a connection that was never used, one that is
// idle, or the oldest head.
func (p *Pool) victim(now time.Time) *Member {
	head := p.oldest(unfinished)
	if head != nil && now.Sub(head.since) >= youngHead {
		return head
	}
	for _, s := range []state{unused, idle} {
		if m := p.oldest(s); m != nil {
			return m
		}
	}
	return head
}

func (p *Pool) oldest(s state) *Member {
	e := p.queues[s].Front()
	if e == nil {
		return nil
	}
	m, _ := e.Value.(*Member)
	return m
}

// HeadBegins is called when the first byte of a head has arrived.
func (p *Pool) HeadBegins(m *Member, now time.Time) {
	if m.state != gone {
		p.enter(m, unfinished, now)
	}
}

// Reserve takes bytes for a head that arrives. If the budget is short, the oldest unfinished heads are closed, unless that isn't
// enough; an unfinished head that doesn't fit is then closed itself. ok is false if it was closed, or if there is no room.
func (p *Pool) Reserve(m *Member, bytes int64) (ok bool) {
	switch {
	case m.state == gone:
		return false
	case p.leastFor(m)+bytes <= p.budget.HeadBytes:
	case m.state == unfinished:
		p.evict(m, NoMemory)
		return false
	default:
		return false
	}
	m.held += bytes
	p.used += bytes
	if m.state == unfinished {
		p.unfinished += bytes
	}
	for p.used > p.budget.HeadBytes && m.state != gone {
		p.evict(p.oldest(unfinished), NoMemory)
	}
	return m.state != gone
}

// leastFor returns the reserved bytes if all unfinished heads but one were closed.
func (p *Pool) leastFor(m *Member) int64 {
	if m.state == unfinished {
		return p.used - p.unfinished + m.held
	}
	return p.used - p.unfinished
}

// Begin is called when a head has arrived whole, and before it is parsed. cost is what it takes while its request runs, and replaces
// what was reserved while it arrived. ok is false if the budget doesn't allow it; the connection must then be closed.
func (p *Pool) Begin(m *Member, cost int64, now time.Time) (ok bool) {
	if m.state == gone {
		return false
	}
	if cost > ordinaryCost && p.costly+cost > p.budget.HeadBytes/costlyDivisor {
		return false
	}
	p.enter(m, running, now)
	if cost > ordinaryCost {
		m.costly = cost
		p.costly += cost
	}
	return p.Reserve(m, cost)
}

// Parse takes the bytes that a head takes only while it is parsed. ok is false if the budget doesn't allow it; the connection must
// then be closed.
func (p *Pool) Parse(m *Member, bytes int64) (ok bool) {
	if !p.Reserve(m, bytes) {
		return false
	}
	m.parsing += bytes
	return true
}

// Parsed is called when a head has been parsed.
func (p *Pool) Parsed(m *Member) {
	p.used -= m.parsing
	m.held -= m.parsing
	m.parsing = 0
}

// Idle is called when a request is complete.
func (p *Pool) Idle(m *Member, now time.Time) {
	if m.state == gone {
		return
	}
	p.enter(m, idle, now)
}

// Close removes a connection that is closed. It may be called more than once.
func (p *Pool) Close(m *Member) {
	if m.state == gone && !m.leaving {
		return
	}
	p.open--
	if m.leaving {
		p.leaving--
		m.leaving = false
	}
	p.leave(m)
}

// Usage returns the number of open connections, and the bytes that are reserved for their heads.
func (p *Pool) Usage() (open int, bytes int64) { return p.open, p.used }

// Tight reports whether the number of connections is near its limit, and requests are in progress on all of them.
func (p *Pool) Tight() bool {
	for _, q := range p.queues {
		if q.Len() > 0 {
			return false
		}
	}
	return p.open-p.leaving >= p.budget.Connections-p.budget.Connections/tightDivisor
}

// Overdue returns by how many the open connections exceed the limit, because those that were asked to close haven't yet.
func (p *Pool) Overdue() int { return p.open - p.budget.Connections }

func (p *Pool) evict(m *Member, r Reason) {
	p.leave(m)
	m.leaving = true
	p.leaving++
	m.end(r)
}

func (p *Pool) leave(m *Member) {
	p.release(m)
	p.dequeue(m)
	m.state = gone
}

func (p *Pool) release(m *Member) {
	if m.state == unfinished {
		p.unfinished -= m.held
	}
	p.used -= m.held
	p.costly -= m.costly
	m.held, m.costly, m.parsing = 0, 0, 0
}

func (p *Pool) dequeue(m *Member) {
	if m.element != nil {
		p.queues[m.state].Remove(m.element)
		m.element = nil
	}
}

// enter puts a connection into another state, in which nothing is reserved yet.
func (p *Pool) enter(m *Member, s state, now time.Time) {
	p.release(m)
	p.dequeue(m)
	m.state, m.since = s, now
	if s < running {
		m.element = p.queues[s].PushBack(m)
	}
}
