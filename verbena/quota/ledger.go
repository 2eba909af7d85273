// Package quota decides how much of a workspace's rate each host may spend.
//
// A token is made at the bucket's rate and lives in the owner's bucket or in a
// grant. The owner stops making tokens while those that may exist anywhere fill
// the burst, so that in any window of length t at most burst + rate*t are spent.
package quota

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/rules"
)

// Timing sets how long grants last.
type Timing struct {
	// TTL is how long a host may spend a grant, from when it asked.
	TTL time.Duration
	// Margin is added by the owner, for hosts whose clocks run slower.
	Margin time.Duration
}

// outstandingShare bounds the part of a burst that is granted at any time, and
// so what a successor must assume to be in use.
const outstandingShare = 0.5

// Ledger is the owner's state of the buckets in its shards.
type Ledger struct {
	timing  Timing
	buckets map[Bucket]*state
}

type state struct {
	level       float64
	filled      time.Time
	seq         uint64
	epoch       ids.Epoch
	outstanding map[GrantID]debt
	// inherited is what hosts may still hold of a former owner's grants.
	inherited      float64
	inheritedUntil time.Time
	used           time.Time
	limit          rules.Limit
}

type debt struct {
	tokens  int
	expires time.Time
}

// NewLedger returns a ledger without buckets.
func NewLedger(t Timing) *Ledger {
	return &Ledger{timing: t, buckets: map[Bucket]*state{}}
}

// Tenure says since when and under which epoch the host owns a bucket's shard.
type Tenure struct {
	Epoch ids.Epoch
	Since time.Time
}

// Grant answers an ask. The caller must hold the shard under the tenure at now.
func (l *Ledger) Grant(now time.Time, t Tenure, limit rules.Limit, a Ask) Answer {
	s := l.state(now, t, limit, a.Bucket)
	s.refill(now, limit)
	s.settle(a.Closed)
	s.refill(now, limit)
	room := max(1, outstandingShare*limit.Burst) - s.held()
	tokens := int(math.Floor(min(s.level, room, float64(a.Want))))
	if tokens <= 0 {
		return Answer{RetryAfter: s.wait(now, limit)}
	}
	s.seq++
	s.level -= float64(tokens)
	id := GrantID{Epoch: s.epoch, Seq: s.seq}
	s.outstanding[id] = debt{tokens, now.Add(l.timing.TTL + l.timing.Margin)}
	answer := Answer{Grant: Grant{ID: id, Tokens: tokens, TTL: l.timing.TTL}}
	if tokens < a.Want {
		answer.RetryAfter = s.wait(now, limit)
	}
	return answer
}

// Forget drops the buckets that the predicate selects: their shard has a new owner.
func (l *Ledger) Forget(gone func(Bucket) bool) {
	for b := range l.buckets {
		if gone(b) {
			delete(l.buckets, b)
		}
	}
}

// Sweep drops buckets that have been idle long enough to be full again.
func (l *Ledger) Sweep(now time.Time) {
	for b, s := range l.buckets {
		fill := time.Duration(s.limit.Burst / s.limit.RatePerSecond * float64(time.Second))
		if now.Sub(s.used) > fill+l.timing.TTL+l.timing.Margin {
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
		s = l.inherit(t, limit)
		l.buckets[b] = s
	}
	s.used = now
	s.limit = limit
	return s
}

// inherit starts a bucket from what could have been spent: nothing in hand, and
// all that the former owner may have granted still in use.
func (l *Ledger) inherit(t Tenure, limit rules.Limit) *state {
	return &state{
		epoch:          t.Epoch,
		filled:         t.Since,
		outstanding:    map[GrantID]debt{},
		inherited:      min(limit.Burst, max(1, outstandingShare*limit.Burst)),
		inheritedUntil: t.Since.Add(l.timing.TTL + l.timing.Margin),
	}
}

func (s *state) settle(closed []Closed) {
	for _, c := range closed {
		d, known := s.outstanding[c.ID]
		if !known {
			continue
		}
		delete(s.outstanding, c.ID)
		s.level += float64(min(max(c.Unused, 0), d.tokens))
	}
}

// refill makes the tokens due since the last time. Those due before a grant or
// inheritance ended are made under the cap that held then.
func (s *state) refill(now time.Time, limit rules.Limit) {
	for {
		end, found := s.nextExpiry(now)
		if !found {
			break
		}
		s.fillUntil(end, limit)
		s.expire(end)
	}
	s.fillUntil(now, limit)
}

func (s *state) fillUntil(at time.Time, limit rules.Limit) {
	if at.After(s.filled) {
		s.level += limit.RatePerSecond * at.Sub(s.filled).Seconds()
		s.filled = at
	}
	s.level = max(0, min(s.level, limit.Burst-s.held()))
}

func (s *state) nextExpiry(now time.Time) (at time.Time, found bool) {
	if s.inherited > 0 && !s.inheritedUntil.After(now) {
		at, found = s.inheritedUntil, true
	}
	for _, d := range s.outstanding {
		if d.expires.After(now) {
			continue
		}
		if !found || d.expires.Before(at) {
			at, found = d.expires, true
		}
	}
	return at, found
}

func (s *state) expire(at time.Time) {
	if !s.inheritedUntil.After(at) {
		s.inherited = 0
	}
	for id, d := range s.outstanding {
		if !d.expires.After(at) {
			delete(s.outstanding, id)
		}
	}
}

// held is what hosts may still spend.
func (s *state) held() float64 {
	sum := s.inherited
	for _, d := range s.outstanding {
		sum += float64(d.tokens)
	}
	return sum
}

// wait is when one more token can be had.
func (s *state) wait(now time.Time, limit rules.Limit) time.Duration {
	missing := max(0, 1-s.level)
	d := time.Duration(missing / limit.RatePerSecond * float64(time.Second))
	if s.held() < limit.Burst {
		return max(d, time.Millisecond)
	}
	first := now.Add(time.Hour)
	for _, o := range s.outstanding {
		if o.expires.Before(first) {
			first = o.expires
		}
	}
	if s.inherited > 0 && s.inheritedUntil.Before(first) {
		first = s.inheritedUntil
	}
	return max(d, first.Sub(now))
}
