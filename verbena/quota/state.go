package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/rules"
)

// state is one bucket at its owner.
type state struct {
	limit  rules.Limit
	level  float64
	filled time.Time
	seq    uint64
	epoch  ids.Epoch
	grants map[GrantID]debt
	shares map[GrantID]*lent
	uses   map[ids.HostID]usage
	// formerGrants and formerShare are what hosts may still hold of former owners.
	formerGrants former
	formerShare  former
	// reported are former owners' shares that hosts have closed.
	reported map[GrantID]bool
	used     time.Time
	transit  time.Duration
}

// debt is a grant that may still be spent.
type debt struct {
	tokens  int
	expires time.Time
}

// lent is a share that a host may still use.
type lent struct {
	id    GrantID
	rev   uint32
	rate  float64
	burst float64
	// countedRate and countedBurst are the largest size that the host may still use.
	countedRate  float64
	countedBurst float64
	// tokens go to the host with the next answer.
	tokens  float64
	expires time.Time
}

// confirm notes that the host has taken the newest size.
func (x *lent) confirm() {
	x.countedRate, x.countedBurst = x.rate, x.burst
}

// usage is a host's own rate of requests when it last asked.
type usage struct {
	rate float64
	at   time.Time
}

// former is what former owners may have given, until it has surely expired.
type former struct {
	rate  float64
	burst float64
	until time.Time
}

// inherit starts a bucket. Without a word from the former owner nothing is in hand,
// and all that it may have given is taken for being in use.
func inherit(t Timing, tenure Tenure, limit rules.Limit, b Bucket) *state {
	s := &state{
		limit:    limit,
		epoch:    tenure.Epoch,
		transit:  t.MaxTransit,
		filled:   tenure.Since,
		grants:   map[GrantID]debt{},
		shares:   map[GrantID]*lent{},
		uses:     map[ids.HostID]usage{},
		reported: map[GrantID]bool{},
		formerGrants: former{
			burst: min(limit.Burst, max(1, grantPart*limit.Burst)),
			until: tenure.Since.Add(t.GrantTTL + t.Margin),
		},
		formerShare: former{
			rate:  sharePart * limit.RatePerSecond,
			burst: shareBurst(limit),
			until: tenure.Since.Add(t.ShareTTL + t.Margin),
		},
	}
	if handed, known := tenure.balance(b, limit); known {
		s.level = handed.Level
		s.formerGrants.burst = handed.Granted
		s.formerShare.rate, s.formerShare.burst = handed.ShareRate, handed.ShareBurst
	}
	return s
}

func (s *state) balance(b Bucket) Balance {
	rate, burst := s.lent()
	return Balance{Bucket: b, Level: s.level, Granted: s.granted(), ShareRate: rate, ShareBurst: burst}
}

func (s *state) nextID() GrantID {
	s.seq++
	return GrantID{Epoch: s.epoch, Seq: s.seq}
}

// settle takes back what a host reports as closed.
func (s *state) settle(a TokenRequest) {
	for _, c := range a.ClosedGrants {
		d, known := s.grants[c.ID]
		if !known {
			continue
		}
		delete(s.grants, c.ID)
		s.level += float64(min(max(c.Unused, 0), d.tokens))
	}
	for _, c := range a.ClosedShares {
		s.settleShare(c)
	}
	s.adopt(a.Share)
}

// adopt takes over a share that a former owner gave, when its host names it.
func (s *state) adopt(x HeldShare) {
	if x.Remaining >= s.transit && s.claimFormer(x.ID, x.Rate, x.Burst) {
		// The answer renews it.
		s.shares[x.ID] = &lent{
			id: x.ID, rev: x.Revision, rate: x.Rate, burst: x.Burst,
			countedRate: x.Rate, countedBurst: x.Burst, expires: s.formerShare.until,
		}
	}
}

// claimFormer takes a share out of what former owners may have given, once. A share
// that might have ended must not be claimed: its room may be another host's by now.
func (s *state) claimFormer(id GrantID, rate, burst float64) (ok bool) {
	if id == (GrantID{}) || id.Epoch >= s.epoch || s.reported[id] || s.formerShare.rate+s.formerShare.burst == 0 {
		return false
	}
	s.reported[id] = true
	s.formerShare.rate = max(0, s.formerShare.rate-rate)
	s.formerShare.burst = max(0, s.formerShare.burst-burst)
	return true
}

func (s *state) settleShare(c ClosedShare) {
	if x, known := s.shares[c.ID]; known {
		delete(s.shares, c.ID)
		s.level += min(max(c.Unused, 0), x.countedBurst)
		return
	}
	if c.Remaining >= s.transit && s.claimFormer(c.ID, c.Rate, c.Burst) {
		s.level += min(max(c.Unused, 0), c.Burst)
	}
}

// refill makes the tokens due since the last time. Those due before something
// expired are made at the rate and under the cap that held then.
func (s *state) refill(now time.Time) {
	for {
		end, found := s.nextExpiry(now)
		if !found {
			break
		}
		s.fillUntil(end)
		s.expire(end)
	}
	s.fillUntil(now)
}

func (s *state) fillUntil(at time.Time) {
	if at.After(s.filled) {
		rate, _ := s.lent()
		s.level += max(0, s.limit.RatePerSecond-rate) * at.Sub(s.filled).Seconds()
		s.filled = at
	}
	s.cap()
}

// cap keeps the tokens that may exist anywhere within the burst.
func (s *state) cap() {
	s.level = max(0, min(s.level, s.limit.Burst-s.held()))
}

func (s *state) nextExpiry(now time.Time) (at time.Time, found bool) {
	s.eachExpiry(func(e time.Time) {
		if !e.After(now) && (!found || e.Before(at)) {
			at, found = e, true
		}
	})
	return at, found
}

func (s *state) eachExpiry(f func(time.Time)) {
	for _, x := range []former{s.formerGrants, s.formerShare} {
		if x.burst > 0 || x.rate > 0 {
			f(x.until)
		}
	}
	for _, d := range s.grants {
		f(d.expires)
	}
	for _, x := range s.shares {
		f(x.expires)
	}
}

func (s *state) expire(at time.Time) {
	for _, x := range []*former{&s.formerGrants, &s.formerShare} {
		if !x.until.After(at) {
			x.rate, x.burst = 0, 0
		}
	}
	for id, d := range s.grants {
		if !d.expires.After(at) {
			delete(s.grants, id)
		}
	}
	for id, x := range s.shares {
		if !x.expires.After(at) {
			delete(s.shares, id)
		}
	}
}

// granted is what hosts may still spend of grants.
func (s *state) granted() float64 {
	sum := s.formerGrants.burst
	for _, d := range s.grants {
		sum += float64(d.tokens)
	}
	return sum
}

// lent is the rate and burst that is in hosts' shares.
func (s *state) lent() (rate, burst float64) {
	rate, burst = s.formerShare.rate, s.formerShare.burst
	for _, x := range s.shares {
		rate += x.countedRate
		burst += x.countedBurst
	}
	return rate, burst
}

// held is how many tokens may exist at hosts.
func (s *state) held() float64 {
	_, burst := s.lent()
	return s.granted() + burst
}

// wait is when one more token can be had.
func (s *state) wait(now time.Time) time.Duration {
	rate, _ := s.lent()
	made := max(s.limit.RatePerSecond-rate, (1-sharePart)*s.limit.RatePerSecond)
	d := time.Duration(max(0, 1-s.level) / made * float64(time.Second))
	if s.held()+1 <= s.limit.Burst {
		return max(d, time.Millisecond)
	}
	first := now.Add(d)
	s.eachExpiry(func(e time.Time) {
		if first.Equal(now.Add(d)) || e.Before(first) {
			first = e
		}
	})
	return max(d, first.Sub(now), time.Millisecond)
}
