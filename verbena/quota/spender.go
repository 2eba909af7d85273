package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// foresight is how far ahead a host asks for tokens.
	foresight = 100 * time.Millisecond
	// idleReturn is how long a host keeps tokens that it doesn't use.
	idleReturn = 300 * time.Millisecond
	// rateWindow smooths the host's own rate of requests.
	rateWindow = time.Second
	maxWaiting = 1024
)

// Ticket names a request that waits for a token.
type Ticket uint64

// Spender is a host's side: it spends grants and asks for more in time.
type Spender struct {
	patience time.Duration
	purses   map[Bucket]*purse
}

type purse struct {
	grants  []holding
	closed  []Closed
	asking  bool
	waiting []waiter
	rate    float64
	counted time.Time
	used    time.Time
}

type holding struct {
	id      GrantID
	left    int
	expires time.Time
}

type waiter struct {
	ticket Ticket
	since  time.Time
}

// NewSpender returns a spender whose requests wait for a token at most that long.
func NewSpender(patience time.Duration) *Spender {
	return &Spender{patience: patience, purses: map[Bucket]*purse{}}
}

// Step applies one event and returns the commands that follow from it.
func (s *Spender) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case Arrived:
		return s.arrived(now, e)
	case Answered:
		return s.answered(now, e)
	case AskFailed:
		return s.askFailed(now, e)
	case Tick:
		return s.tick(now)
	}
	return nil
}

// Len returns the number of buckets in use.
func (s *Spender) Len() int {
	return len(s.purses)
}

func (s *Spender) arrived(now time.Time, e Arrived) []Command {
	p := s.purses[e.Bucket]
	if p == nil {
		p = &purse{counted: now}
		s.purses[e.Bucket] = p
	}
	p.count(now)
	if len(p.waiting) == 0 && p.spend(now) {
		return append([]Command{Admitted{e.Ticket}}, p.refresh(now, e.Bucket)...)
	}
	if len(p.waiting) >= maxWaiting {
		return []Command{Refused{Ticket: e.Ticket, RetryAfter: s.patience}}
	}
	p.waiting = append(p.waiting, waiter{e.Ticket, now})
	return p.ask(now, e.Bucket)
}

func (s *Spender) answered(now time.Time, e Answered) []Command {
	p := s.purses[e.Ask.Bucket]
	if p == nil {
		return nil
	}
	p.asking = false
	p.forget(e.Ask.Closed)
	if e.Answer.Grant.Tokens > 0 {
		p.grants = append(p.grants, holding{e.Answer.Grant.ID, e.Answer.Grant.Tokens, e.Sent.Add(e.Answer.Grant.TTL)})
	}
	var cmds []Command
	for len(p.waiting) > 0 && p.spend(now) {
		cmds = append(cmds, Admitted{p.waiting[0].ticket})
		p.waiting = p.waiting[1:]
	}
	if len(p.waiting) == 0 {
		return cmds
	}
	if e.Answer.RetryAfter == 0 {
		return append(cmds, p.ask(now, e.Ask.Bucket)...)
	}
	for _, w := range p.waiting {
		cmds = append(cmds, Refused{Ticket: w.ticket, RetryAfter: e.Answer.RetryAfter, Exceeded: true})
	}
	p.waiting = nil
	return cmds
}

func (s *Spender) askFailed(now time.Time, e AskFailed) []Command {
	p := s.purses[e.Ask.Bucket]
	if p == nil {
		return nil
	}
	p.asking = false
	cmds := p.giveUp(now, s.patience)
	if len(p.waiting) > 0 {
		cmds = append(cmds, Later{Bucket: e.Ask.Bucket})
	}
	return cmds
}

func (s *Spender) tick(now time.Time) (cmds []Command) {
	for _, b := range s.sorted() {
		p := s.purses[b]
		p.expire(now)
		cmds = append(cmds, p.giveUp(now, s.patience)...)
		if now.Sub(p.used) >= idleReturn {
			p.closeAll()
		}
		switch {
		case len(p.waiting) > 0 && !p.asking:
			cmds = append(cmds, p.ask(now, b)...)
		case len(p.closed) > 0 && !p.asking:
			p.asking = true
			cmds = append(cmds, SendAsk{Ask{Bucket: b, Closed: p.closed}})
		case len(p.grants) == 0 && !p.asking && now.Sub(p.used) > time.Minute:
			delete(s.purses, b)
		}
	}
	return cmds
}

// Drain closes every grant, for a host that stops.
func (s *Spender) Drain() (cmds []Command) {
	for _, b := range s.sorted() {
		p := s.purses[b]
		p.closeAll()
		if len(p.closed) > 0 {
			cmds = append(cmds, SendAsk{Ask{Bucket: b, Closed: p.closed}})
		}
	}
	return cmds
}

// sorted gives the buckets in a stable order, so that a replay gives the same commands.
func (s *Spender) sorted() []Bucket {
	return slices.SortedFunc(maps.Keys(s.purses), Bucket.Compare)
}

func (p *purse) count(now time.Time) {
	age := now.Sub(p.counted).Seconds() / rateWindow.Seconds()
	p.rate = p.rate*math.Exp(-age) + 1/rateWindow.Seconds()
	p.counted = now
	p.used = now
}

func (p *purse) spend(now time.Time) bool {
	p.expire(now)
	for i := range p.grants {
		if p.grants[i].left == 0 {
			continue
		}
		p.grants[i].left--
		if p.grants[i].left == 0 {
			p.closed = append(p.closed, Closed{ID: p.grants[i].id})
			p.grants = append(p.grants[:i], p.grants[i+1:]...)
		}
		return true
	}
	return false
}

// refresh asks for more before the tokens run out.
func (p *purse) refresh(now time.Time, b Bucket) []Command {
	if p.asking || p.left() >= p.ahead()/2 {
		return nil
	}
	return p.ask(now, b)
}

func (p *purse) ask(_ time.Time, b Bucket) []Command {
	if p.asking {
		return nil
	}
	want := len(p.waiting) + p.ahead() - p.left()
	if want <= 0 {
		return nil
	}
	p.asking = true
	return []Command{SendAsk{Ask{Bucket: b, Want: want, Closed: p.closed}}}
}

// ahead is what the host expects to use before a next ask is answered.
func (p *purse) ahead() int {
	return int(p.rate * foresight.Seconds())
}

func (p *purse) left() (n int) {
	for _, g := range p.grants {
		n += g.left
	}
	return n
}

func (p *purse) expire(now time.Time) {
	kept := p.grants[:0]
	for _, g := range p.grants {
		if now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	p.grants = kept
}

func (p *purse) closeAll() {
	for _, g := range p.grants {
		p.closed = append(p.closed, Closed{ID: g.id, Unused: g.left})
	}
	p.grants = nil
}

// forget drops the reports that the owner has now heard.
func (p *purse) forget(reported []Closed) {
	heard := make(map[GrantID]bool, len(reported))
	for _, c := range reported {
		heard[c.ID] = true
	}
	kept := p.closed[:0:0]
	for _, c := range p.closed {
		if !heard[c.ID] {
			kept = append(kept, c)
		}
	}
	p.closed = kept
}

func (p *purse) giveUp(now time.Time, patience time.Duration) (cmds []Command) {
	kept := p.waiting[:0:0]
	for _, w := range p.waiting {
		if now.Sub(w.since) < patience {
			kept = append(kept, w)
			continue
		}
		cmds = append(cmds, Refused{Ticket: w.ticket, RetryAfter: time.Second})
	}
	p.waiting = kept
	return cmds
}
