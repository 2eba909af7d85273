package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// foresight is how far ahead a host asks for tokens.
	foresight = 100 * time.Millisecond
	// idleReturn is how long a host keeps tokens that it doesn't use.
	idleReturn = 300 * time.Millisecond
	// rateWindow smooths the host's own rate of requests.
	rateWindow = time.Second
	maxWaiting = 1024
	// shareRenew is how often a host renews its share, and shareIdle how long it
	// keeps one that it doesn't use.
	shareRenew = time.Second
	shareIdle  = 5 * time.Second
	// minUse is the rate below which a host asks for no share.
	minUse = 0.2
)

// Ticket names a request that waits for a token.
type Ticket uint64

// Spender is a host's side: it spends grants and asks for more in time.
type Spender struct {
	host     ids.HostID
	patience time.Duration
	purses   map[Bucket]*purse
}

type purse struct {
	host    ids.HostID
	grants  []holding
	closed  []Closed
	share   *ownBucket
	ended   []endedShare
	renewed time.Time
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

// endedShare is a share that the owner hasn't heard the end of.
type endedShare struct {
	ClosedShare
	expires time.Time
}

type waiter struct {
	ticket Ticket
	since  time.Time
}

// NewSpender returns a spender whose requests wait for a token at most that long.
func NewSpender(h ids.HostID, patience time.Duration) *Spender {
	return &Spender{host: h, patience: patience, purses: map[Bucket]*purse{}}
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
		p = &purse{host: s.host, counted: now}
		s.purses[e.Bucket] = p
	}
	p.count(now)
	cmds := p.serve(now)
	if len(p.waiting) == 0 && p.spend(now) {
		cmds = append(cmds, Admitted{e.Ticket})
		return append(cmds, p.refresh(now, e.Bucket)...)
	}
	if len(p.waiting) >= maxWaiting {
		return append(cmds, Refused{Ticket: e.Ticket, RetryAfter: s.patience})
	}
	p.waiting = append(p.waiting, waiter{e.Ticket, now})
	return append(cmds, p.ask(now, e.Bucket)...)
}

func (s *Spender) answered(now time.Time, e Answered) []Command {
	p := s.purses[e.Ask.Bucket]
	if p == nil {
		return nil
	}
	p.asking = false
	p.forget(e.Ask)
	p.takeShare(now, e)
	if e.Answer.Grant.Tokens > 0 {
		p.grants = append(p.grants, holding{e.Answer.Grant.ID, e.Answer.Grant.Tokens, e.Sent.Add(e.Answer.Grant.TTL)})
	}
	cmds := p.serve(now)
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
	for _, b := range s.restless(now) {
		p := s.purses[b]
		p.expire(now)
		cmds = append(cmds, p.serve(now)...)
		cmds = append(cmds, p.giveUp(now, s.patience)...)
		p.closeIdle(now)
		switch {
		case p.asking:
		case len(p.waiting) > 0:
			cmds = append(cmds, p.ask(now, b)...)
		case p.mustReport(now):
			cmds = append(cmds, p.send(now, b, 0))
		case p.empty() && now.Sub(p.used) > time.Minute:
			delete(s.purses, b)
		}
	}
	return cmds
}

// mustReport tells whether the owner should hear of something though no token is
// wanted: what was closed, or that the share is still in use.
func (p *purse) mustReport(now time.Time) bool {
	if len(p.closed) > 0 || len(p.ended) > 0 {
		return true
	}
	return p.use(now) > 0 && now.Sub(p.renewed) >= shareRenew
}

func (p *purse) empty() bool {
	return len(p.grants) == 0 && p.share == nil && len(p.closed) == 0 && len(p.ended) == 0
}

// closeIdle gives back what hasn't been used for a while.
func (p *purse) closeIdle(now time.Time) {
	idle := now.Sub(p.used)
	if idle >= idleReturn {
		p.closeGrants()
	}
	if idle >= shareIdle {
		p.closeShare(now)
	}
}

// Drain closes every grant, for a host that stops.
func (s *Spender) Drain(now time.Time) (cmds []Command) {
	for _, b := range s.sorted() {
		p := s.purses[b]
		p.closeGrants()
		p.closeShare(now)
		if len(p.closed)+len(p.ended) > 0 {
			p.rate = 0
			cmds = append(cmds, p.send(now, b, 0))
		}
	}
	return cmds
}

// restless returns the buckets for which time may change something.
func (s *Spender) restless(now time.Time) (list []Bucket) {
	for b, p := range s.purses {
		quiet := len(p.waiting) == 0 && !p.asking && p.empty() && now.Sub(p.used) <= time.Minute && p.use(now) == 0
		if !quiet {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, Bucket.Compare)
	return list
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
	if p.share != nil && p.share.spend(now) {
		return true
	}
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

// serve admits the requests that have waited longest as far as tokens go.
func (p *purse) serve(now time.Time) (cmds []Command) {
	for len(p.waiting) > 0 && p.spend(now) {
		cmds = append(cmds, Admitted{p.waiting[0].ticket})
		p.waiting = p.waiting[1:]
	}
	return cmds
}

// refresh asks for more before the tokens run out.
func (p *purse) refresh(now time.Time, b Bucket) []Command {
	if p.asking || p.left(now) >= p.ahead()/2 {
		return nil
	}
	return p.ask(now, b)
}

func (p *purse) ask(now time.Time, b Bucket) []Command {
	if p.asking {
		return nil
	}
	want := len(p.waiting) + p.ahead() - p.left(now)
	if want <= 0 {
		return nil
	}
	return []Command{p.send(now, b, want)}
}

func (p *purse) send(now time.Time, b Bucket, want int) Command {
	p.asking = true
	p.renewed = now
	a := Ask{Bucket: b, Host: p.host, Want: want, Use: p.use(now), Closed: p.closed}
	for _, e := range p.ended {
		e.Left = e.expires.Sub(now)
		a.ClosedShares = append(a.ClosedShares, e.ClosedShare)
	}
	if p.share != nil {
		a.Share = HeldShare{Share: p.share.Share, Left: p.share.expires.Sub(now)}
	}
	return SendAsk{a}
}

// use is the host's rate of requests at this moment, 0 if it is too small for a share.
func (p *purse) use(now time.Time) float64 {
	rate := p.rate * math.Exp(-now.Sub(p.counted).Seconds()/rateWindow.Seconds())
	if rate < minUse {
		return 0
	}
	return rate
}

// takeShare puts the owner's answer about the share into force.
func (p *purse) takeShare(now time.Time, e Answered) {
	x := e.Answer.Share
	switch {
	case x.ID == GrantID{}:
		return
	case p.share != nil && p.share.ID == x.ID:
		p.share.renew(now, x, e.Sent)
	default:
		p.closeShare(now)
		p.share = newOwnBucket(now, x, e.Sent)
	}
}

func (p *purse) closeShare(now time.Time) {
	if p.share == nil {
		return
	}
	p.share.fill(now)
	p.ended = append(p.ended, endedShare{
		ClosedShare{ID: p.share.ID, Rate: p.share.Rate, Burst: p.share.Burst, Unused: p.share.level}, p.share.expires,
	})
	p.share = nil
}

// ahead is what the host expects to use before a next ask is answered.
func (p *purse) ahead() int {
	return int(p.rate * foresight.Seconds())
}

func (p *purse) left(now time.Time) (n int) {
	if p.share != nil {
		p.share.fill(now)
		n = int(p.share.level)
	}
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
	if p.share != nil && !now.Before(p.share.expires) {
		p.share = nil
	}
}

func (p *purse) closeGrants() {
	for _, g := range p.grants {
		p.closed = append(p.closed, Closed{ID: g.id, Unused: g.left})
	}
	p.grants = nil
}

// forget drops the reports that the owner has now heard.
func (p *purse) forget(a Ask) {
	p.closed = slices.DeleteFunc(slices.Clone(p.closed), func(c Closed) bool { return slices.Contains(a.Closed, c) })
	p.ended = slices.DeleteFunc(slices.Clone(p.ended), func(e endedShare) bool {
		return slices.ContainsFunc(a.ClosedShares, func(c ClosedShare) bool { return c.ID == e.ID })
	})
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
