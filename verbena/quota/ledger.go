// Package quota decides how much of a workspace's rate each host may spend.
//
// A token is made at the bucket's rate, by the owner or, under a share, by a
// host; it lives in the owner's bucket, in a grant or in a share. The owner stops
// making tokens while those that may exist anywhere fill the burst, so that in
// any window of length t at most burst + rate*t are spent.
package quota

import (
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/rules"
)

const (
	// grantPart of the burst is granted at any time, sharePart of the rate and
	// shareBurstPart of the burst is given in shares. They bound what a successor
	// must take for being in use.
	grantPart      = 0.5
	sharePart      = 0.9
	shareBurstPart = 0.4
	// headroom is how much larger a share is than its host's use.
	headroom = 1.25
	// resizeAt is by what factor a share must be off before it is resized.
	resizeAt = 1.1
	// useMemory is how long a host's use counts after it was last told.
	useMemory = 5 * time.Second
)

// Ledger is the owner's state of the buckets in its shards.
type Ledger struct {
	timing  Timing
	buckets map[Bucket]*state
}

// NewLedger returns a ledger without buckets.
func NewLedger(t Timing) *Ledger {
	return &Ledger{timing: t, buckets: map[Bucket]*state{}}
}

// Grant answers an ask. The caller must hold the shard under the tenure at now.
func (l *Ledger) Grant(now time.Time, t Tenure, limit rules.Limit, a TokenRequest) (answer TokenResponse) {
	s := l.state(now, t, limit, a.Bucket)
	s.refill(now)
	s.settle(a)
	s.cap()
	answer.Share = s.share(now, l.timing, a)
	tokens := s.grantable(a.Want)
	if tokens > 0 {
		answer.Grant = s.grant(now, l.timing, tokens)
	}
	if tokens < a.Want {
		answer.RetryAfter = s.wait(now)
	}
	return answer
}

// Balances returns what a successor needs to know of the buckets that the predicate
// selects, for an owner that gives up its tenure of them in order. What was handed
// to the owner itself and never asked for is passed on.
func (l *Ledger) Balances(now time.Time, t Tenure, mine func(Bucket) bool) (list []Balance) {
	for _, x := range t.HandedOver {
		if l.buckets[x.Bucket] == nil {
			list = append(list, x)
		}
	}
	for b, s := range l.buckets {
		if mine(b) {
			s.refill(now)
			list = append(list, s.balance(b))
		}
	}
	slices.SortFunc(list, func(x, y Balance) int { return x.Bucket.Compare(y.Bucket) })
	return list
}

// Forget drops the buckets that the predicate selects: their shard has a new owner.
func (l *Ledger) Drop(gone func(Bucket) bool) {
	for b := range l.buckets {
		if gone(b) {
			delete(l.buckets, b)
		}
	}
}

// Sweep drops buckets that have been idle long enough to be full again.
func (l *Ledger) DropIdle(now time.Time) {
	for b, s := range l.buckets {
		fill := time.Duration(s.limit.Burst / s.limit.RatePerSecond * float64(time.Second))
		if now.Sub(s.used) > fill+l.timing.ShareTTL+l.timing.Margin {
			delete(l.buckets, b)
		}
	}
}

// Len returns the number of buckets held.
func (l *Ledger) Len() int {
	return len(l.buckets)
}

func (l *Ledger) state(now time.Time, t Tenure, limit rules.Limit, b Bucket) *state {
	s := l.buckets[b]
	if s == nil || s.epoch != t.Epoch {
		s = inherit(l.timing, t, limit, b)
		l.buckets[b] = s
	}
	s.used = now
	s.limit = limit
	return s
}

// grantable is how many whole tokens may be granted now.
func (s *state) grantable(want int) int {
	// What a former owner may have granted needs no room here: it has expired before a further owner can
	// begin, and the level already leaves the burst to it.
	room := max(1, grantPart*s.limit.Burst) - s.granted() + s.formerGrants.burst
	return max(0, int(math.Floor(min(s.level, room, float64(want)))))
}

func (s *state) grant(now time.Time, t Timing, tokens int) Grant {
	id := s.nextID()
	s.level -= float64(tokens)
	s.grants[id] = debt{tokens, now.Add(t.GrantTTL + t.Margin)}
	return Grant{ID: id, Tokens: tokens, TTL: t.GrantTTL}
}

// share renews, makes or resizes the share of a host that uses the bucket.
func (s *state) share(now time.Time, t Timing, a TokenRequest) Share {
	held := s.shares[a.Share.ID]
	if held != nil && a.Share.Revision == held.rev {
		held.confirm()
	}
	s.use(now, a)
	if a.RequestRate <= 0 {
		return Share{}
	}
	want := s.fairShare(a.RequestRate)
	switch {
	case held == nil:
		held = s.newShare(want)
	case want > held.rate*resizeAt || want < held.rate/resizeAt:
		s.resize(held, want)
	}
	if held == nil {
		return Share{}
	}
	held.expires = now.Add(t.ShareTTL + t.Margin)
	x := Share{ID: held.id, Revision: held.rev, Rate: held.rate, Burst: held.burst, TTL: t.ShareTTL, Tokens: held.tokens}
	held.tokens = 0
	return x
}

// use notes a host's rate of requests, and forgets hosts that are silent.
func (s *state) use(now time.Time, a TokenRequest) {
	s.uses[a.Host] = usage{a.RequestRate, now}
	for h, u := range s.uses {
		if u.rate <= 0 || now.Sub(u.at) > useMemory {
			delete(s.uses, h)
		}
	}
}

// fairShare is a host's part of what may be in shares, by its part of the use.
func (s *state) fairShare(rate float64) float64 {
	sum := 0.0
	for _, u := range s.uses {
		sum += u.rate
	}
	return min(headroom*rate, sharePart*s.limit.RatePerSecond*rate/max(sum, rate))
}

func (s *state) newShare(rate float64) *lent {
	x := &lent{}
	s.resize(x, rate)
	if x.rate <= 0 || x.burst < 1 {
		return nil
	}
	x.id = s.nextID()
	s.shares[x.id] = x
	s.cap()
	return x
}

// resize gives a share another size. A larger one counts at once and is made only
// as far as there is room; a smaller one counts when the host has confirmed it.
func (s *state) resize(x *lent, rate float64) {
	sumRate, sumBurst := s.lent()
	roomRate := sharePart*s.limit.RatePerSecond - (sumRate - x.countedRate)
	roomBurst := min(shareBurst(s.limit)-(sumBurst-x.countedBurst), s.limit.Burst-(s.held()-x.countedBurst))
	rate = min(rate, roomRate)
	burst := min(max(1, shareBurst(s.limit)*rate/(sharePart*s.limit.RatePerSecond)), roomBurst)
	if rate <= 0 || burst < 1 {
		return
	}
	// What the owner has in hand goes along, so that a full bucket stays full.
	moved := min(s.level, max(0, burst-x.countedBurst))
	s.level -= moved
	x.tokens += moved
	x.rev++
	x.rate, x.burst = rate, burst
	x.countedRate, x.countedBurst = max(x.countedRate, rate), max(x.countedBurst, burst)
	s.cap()
}

// shareBurst is the most of a burst that is in shares.
func shareBurst(l rules.Limit) float64 {
	return max(1, shareBurstPart*l.Burst)
}
