package quota

import (
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

// purse is what a host holds of one bucket, and who waits for it.
type purse struct {
	host    ids.HostID
	grants  []holding
	closed  []ClosedGrant
	share   *ownBucket
	ended   []endedShare
	renewed time.Time
	asking  bool
	waiting []waiter
	rate    float64
	counted time.Time
	used    time.Time
}

// holding is a grant at the host that may spend it.
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

// waiter is a request that waits for a token.
type waiter struct {
	ticket Ticket
	since  time.Time
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
			p.closed = append(p.closed, ClosedGrant{ID: p.grants[i].id})
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
	a := TokenRequest{Bucket: b, Host: p.host, Want: want, RequestRate: p.use(now), ClosedGrants: p.closed}
	for _, e := range p.ended {
		e.Remaining = e.expires.Sub(now)
		a.ClosedShares = append(a.ClosedShares, e.ClosedShare)
	}
	if p.share != nil {
		a.Share = HeldShare{Share: p.share.Share, Remaining: p.share.expires.Sub(now)}
	}
	return SendRequest{a}
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
func (p *purse) takeShare(now time.Time, e ResponseReceived) {
	x := e.Response.Share
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
		p.closed = append(p.closed, ClosedGrant{ID: g.id, Unused: g.left})
	}
	p.grants = nil
}

// forget drops the reports that the owner has now heard.
func (p *purse) forget(a TokenRequest) {
	p.closed = slices.DeleteFunc(slices.Clone(p.closed), func(c ClosedGrant) bool { return slices.Contains(a.ClosedGrants, c) })
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
