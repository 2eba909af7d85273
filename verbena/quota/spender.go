package quota

import (
	"maps"
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
type Client struct {
	host     ids.HostID
	patience time.Duration
	purses   map[Bucket]*purse
}

// NewSpender returns a spender whose requests wait for a token at most that long.
func NewClient(h ids.HostID, patience time.Duration) *Client {
	return &Client{host: h, patience: patience, purses: map[Bucket]*purse{}}
}

// Step applies one event and returns the commands that follow from it.
func (s *Client) Step(now time.Time, e Event) (cmds []Command) {
	switch e := e.(type) {
	case TokenNeeded:
		return s.arrived(now, e)
	case ResponseReceived:
		return s.answered(now, e)
	case RequestFailed:
		return s.askFailed(now, e)
	case Tick:
		return s.tick(now)
	}
	return nil
}

// Len returns the number of buckets in use.
func (s *Client) Len() int {
	return len(s.purses)
}

func (s *Client) arrived(now time.Time, e TokenNeeded) []Command {
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

func (s *Client) answered(now time.Time, e ResponseReceived) []Command {
	p := s.purses[e.Request.Bucket]
	if p == nil {
		return nil
	}
	p.asking = false
	p.forget(e.Request)
	p.takeShare(now, e)
	if e.Response.Grant.Tokens > 0 {
		p.grants = append(p.grants, holding{e.Response.Grant.ID, e.Response.Grant.Tokens, e.Sent.Add(e.Response.Grant.TTL)})
	}
	cmds := p.serve(now)
	if len(p.waiting) == 0 {
		return cmds
	}
	if e.Response.RetryAfter == 0 {
		return append(cmds, p.ask(now, e.Request.Bucket)...)
	}
	for _, w := range p.waiting {
		cmds = append(cmds, Refused{Ticket: w.ticket, RetryAfter: e.Response.RetryAfter, RateExceeded: true})
	}
	p.waiting = nil
	return cmds
}

func (s *Client) askFailed(now time.Time, e RequestFailed) []Command {
	p := s.purses[e.Request.Bucket]
	if p == nil {
		return nil
	}
	p.asking = false
	cmds := p.giveUp(now, s.patience)
	if len(p.waiting) > 0 {
		cmds = append(cmds, RetryLater{Bucket: e.Request.Bucket})
	}
	return cmds
}

func (s *Client) tick(now time.Time) (cmds []Command) {
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

// Drain closes every grant, for a host that stops.
func (s *Client) Drain(now time.Time) (cmds []Command) {
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
func (s *Client) restless(now time.Time) (list []Bucket) {
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
func (s *Client) sorted() []Bucket {
	return slices.SortedFunc(maps.Keys(s.purses), Bucket.Compare)
}
