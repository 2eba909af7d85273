package quota

import (
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/rules"
)

// ownerBucket is the owner's state of one bucket.
type ownerBucket struct {
	limit     rules.Limit
	level     float64
	filledAt  time.Time
	seq       uint64
	epoch     ids.Epoch
	grants    map[GrantID]outstandingGrant
	shares    map[GrantID]*outstandingShare
	hostRates map[ids.HostID]hostRate
	// formerGrants and formerShares bound what hosts may still hold from former owners.
	formerGrants formerBound
	formerShares formerBound
	// claimedShares are the former owners' shares that have already been subtracted from formerShares.
	claimedShares map[GrantID]bool
	lastUsed      time.Time
	maxTransit    time.Duration
}

// outstandingGrant is a grant that may still be spent.
type outstandingGrant struct {
	tokens  int
	expires time.Time
}

// outstandingShare is a share that a host may still use.
type outstandingShare struct {
	id       GrantID
	revision uint32
	rate     float64
	burst    float64
	// countedRate and countedBurst are the largest rate and burst that the host may still use.
	countedRate  float64
	countedBurst float64
	// tokens are sent to the host with the next response.
	tokens  float64
	expires time.Time
}

// confirm records that the host uses the newest size.
func (x *outstandingShare) confirm() {
	x.countedRate, x.countedBurst = x.rate, x.burst
}

// hostRate is a host's rate of requests as of its last token request.
type hostRate struct {
	rate       float64
	reportedAt time.Time
}

// formerBound is the most that former owners may have given to hosts, and when that has expired for certain.
type formerBound struct {
	rate    float64
	burst   float64
	expires time.Time
}

// newOwnerBucket creates the state of a bucket. Without a balance from the former owner, it starts empty, and
// everything that the former owner may have given counts as in use.
func newOwnerBucket(t Timing, tenure Tenure, limit rules.Limit, b Bucket) *ownerBucket {
	ob := &ownerBucket{
		limit:         limit,
		epoch:         tenure.Epoch,
		maxTransit:    t.MaxTransit,
		filledAt:      tenure.Since,
		grants:        map[GrantID]outstandingGrant{},
		shares:        map[GrantID]*outstandingShare{},
		hostRates:     map[ids.HostID]hostRate{},
		claimedShares: map[GrantID]bool{},
		formerGrants: formerBound{
			burst:   min(limit.Burst, max(1, maxGrantedPart*limit.Burst)),
			expires: tenure.Since.Add(t.GrantTTL + t.Margin),
		},
		formerShares: formerBound{
			rate:    maxSharedRatePart * limit.RatePerSecond,
			burst:   maxShareBurst(limit),
			expires: tenure.Since.Add(t.ShareTTL + t.Margin),
		},
	}
	if handedOver, known := tenure.balance(b, limit); known {
		ob.level = handedOver.Level
		ob.formerGrants.burst = handedOver.Granted
		ob.formerShares.rate, ob.formerShares.burst = handedOver.ShareRate, handedOver.ShareBurst
	}
	return ob
}

func (ob *ownerBucket) balance(b Bucket) Balance {
	rate, burst := ob.inShares()
	return Balance{Bucket: b, Level: ob.level, Granted: ob.inGrants(), ShareRate: rate, ShareBurst: burst}
}

func (ob *ownerBucket) nextID() GrantID {
	ob.seq++
	return GrantID{Epoch: ob.epoch, Seq: ob.seq}
}

// applyReports takes back what a host reports as closed, and adopts the share that it holds.
func (ob *ownerBucket) applyReports(req TokenRequest) {
	for _, c := range req.ClosedGrants {
		g, known := ob.grants[c.ID]
		if !known {
			continue
		}
		delete(ob.grants, c.ID)
		ob.level += float64(min(max(c.Unused, 0), g.tokens))
	}
	for _, c := range req.ClosedShares {
		ob.closeShare(c)
	}
	ob.adoptShare(req.Share)
}

// adoptShare takes over a share that a former owner gave, when its host reports it.
func (ob *ownerBucket) adoptShare(x HeldShare) {
	if x.Remaining >= ob.maxTransit && ob.claimFormerShare(x.ID, x.Rate, x.Burst) {
		// The response renews it.
		ob.shares[x.ID] = &outstandingShare{
			id: x.ID, revision: x.Revision, rate: x.Rate, burst: x.Burst,
			countedRate: x.Rate, countedBurst: x.Burst, expires: ob.formerShares.expires,
		}
	}
}

// claimFormerShare subtracts a share from what former owners may have given, once per share. The share must not
// have expired: another host may use its part by now.
func (ob *ownerBucket) claimFormerShare(id GrantID, rate, burst float64) (ok bool) {
	if id == (GrantID{}) || id.Epoch >= ob.epoch || ob.claimedShares[id] || ob.formerShares.rate+ob.formerShares.burst == 0 {
		return false
	}
	ob.claimedShares[id] = true
	ob.formerShares.rate = max(0, ob.formerShares.rate-rate)
	ob.formerShares.burst = max(0, ob.formerShares.burst-burst)
	return true
}

func (ob *ownerBucket) closeShare(c ClosedShare) {
	if x, known := ob.shares[c.ID]; known {
		delete(ob.shares, c.ID)
		ob.level += min(max(c.Unused, 0), x.countedBurst)
		return
	}
	if c.Remaining >= ob.maxTransit && ob.claimFormerShare(c.ID, c.Rate, c.Burst) {
		ob.level += min(max(c.Unused, 0), c.Burst)
	}
}

// refill adds the tokens due since the last refill. Those due before a grant or share expired are added at the
// rate and under the cap of that time.
func (ob *ownerBucket) refill(now time.Time) {
	for {
		end, found := ob.nextExpiry(now)
		if !found {
			break
		}
		ob.addTokensUntil(end)
		ob.dropExpired(end)
	}
	ob.addTokensUntil(now)
}

func (ob *ownerBucket) addTokensUntil(at time.Time) {
	if at.After(ob.filledAt) {
		rate, _ := ob.inShares()
		ob.level += max(0, ob.limit.RatePerSecond-rate) * at.Sub(ob.filledAt).Seconds()
		ob.filledAt = at
	}
	ob.capLevel()
}

// capLevel limits the tokens that may exist anywhere to the burst.
func (ob *ownerBucket) capLevel() {
	ob.level = max(0, min(ob.level, ob.limit.Burst-ob.atHosts()))
}

func (ob *ownerBucket) nextExpiry(now time.Time) (at time.Time, found bool) {
	ob.eachExpiry(func(e time.Time) {
		if !e.After(now) && (!found || e.Before(at)) {
			at, found = e, true
		}
	})
	return at, found
}

func (ob *ownerBucket) eachExpiry(f func(time.Time)) {
	for _, x := range []formerBound{ob.formerGrants, ob.formerShares} {
		if x.burst > 0 || x.rate > 0 {
			f(x.expires)
		}
	}
	for _, g := range ob.grants {
		f(g.expires)
	}
	for _, x := range ob.shares {
		f(x.expires)
	}
}

func (ob *ownerBucket) dropExpired(at time.Time) {
	for _, x := range []*formerBound{&ob.formerGrants, &ob.formerShares} {
		if !x.expires.After(at) {
			x.rate, x.burst = 0, 0
		}
	}
	for id, g := range ob.grants {
		if !g.expires.After(at) {
			delete(ob.grants, id)
		}
	}
	for id, x := range ob.shares {
		if !x.expires.After(at) {
			delete(ob.shares, id)
		}
	}
}

// inGrants returns how many tokens hosts may still spend from grants.
func (ob *ownerBucket) inGrants() float64 {
	sum := ob.formerGrants.burst
	for _, g := range ob.grants {
		sum += float64(g.tokens)
	}
	return sum
}

// inShares returns the rate and burst of all hosts' shares.
func (ob *ownerBucket) inShares() (rate, burst float64) {
	rate, burst = ob.formerShares.rate, ob.formerShares.burst
	for _, x := range ob.shares {
		rate += x.countedRate
		burst += x.countedBurst
	}
	return rate, burst
}

// atHosts returns how many tokens may exist at hosts.
func (ob *ownerBucket) atHosts() float64 {
	_, burst := ob.inShares()
	return ob.inGrants() + burst
}

// retryAfter returns how long it takes until another token can be granted.
func (ob *ownerBucket) retryAfter(now time.Time) time.Duration {
	rate, _ := ob.inShares()
	refillRate := max(ob.limit.RatePerSecond-rate, (1-maxSharedRatePart)*ob.limit.RatePerSecond)
	d := time.Duration(max(0, 1-ob.level) / refillRate * float64(time.Second))
	if ob.atHosts()+1 <= ob.limit.Burst {
		return max(d, time.Millisecond)
	}
	first := now.Add(d)
	ob.eachExpiry(func(e time.Time) {
		if first.Equal(now.Add(d)) || e.Before(first) {
			first = e
		}
	})
	return max(d, first.Sub(now), time.Millisecond)
}
