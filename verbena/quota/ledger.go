// Package quota distributes each workspace's rate limit over the hosts.
//
// Tokens are made at the bucket's rate, by the bucket's owner or, under a share, by another host. A token is in
// the owner's bucket, in a grant or in a share. The owner makes no tokens while those that may exist anywhere
// fill the burst, so that in any window of length t at most burst + rate*t are spent.
package quota

import (
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/rules"
)

const (
	// At most maxGrantedPart of the burst is in grants, and at most maxSharedRatePart of the rate and
	// maxSharedBurstPart of the burst are in shares. The next owner must assume that all of that is in use.
	maxGrantedPart     = 0.5
	maxSharedRatePart  = 0.9
	maxSharedBurstPart = 0.4
	// shareHeadroom is the ratio between a share's rate and its host's rate of requests.
	shareHeadroom = 1.25
	// resizeFactor is the factor by which the wanted rate must differ before a share is resized.
	resizeFactor = 1.1
	// hostRateTTL is how long a host's rate of requests counts after the host last reported it.
	hostRateTTL = 5 * time.Second
)

// Ledger holds an owner's state of the buckets in its shards.
type Ledger struct {
	timing  Timing
	buckets map[Bucket]*ownerBucket
}

// NewLedger returns a ledger without buckets.
func NewLedger(t Timing) *Ledger {
	return &Ledger{timing: t, buckets: map[Bucket]*ownerBucket{}}
}

// Grant answers a token request. The caller must own the bucket's shard under the tenure at that time.
func (l *Ledger) Grant(now time.Time, t Tenure, limit rules.Limit, req TokenRequest) (resp TokenResponse) {
	ob := l.bucket(now, t, limit, req.Bucket)
	ob.refill(now)
	ob.applyReports(req)
	ob.capLevel()
	resp.Share = ob.updateShare(now, l.timing, req)
	tokens := ob.grantable(req.Want)
	if tokens > 0 {
		resp.Grant = ob.newGrant(now, l.timing, tokens)
	}
	if tokens < req.Want {
		resp.RetryAfter = ob.retryAfter(now)
	}
	return resp
}

// Balances returns what the next owner needs to know of the selected buckets when an owner hands them over.
// Balances that this owner received itself and never used are included.
func (l *Ledger) Balances(now time.Time, t Tenure, selected func(Bucket) bool) (list []Balance) {
	for _, x := range t.HandedOver {
		if l.buckets[x.Bucket] == nil {
			list = append(list, x)
		}
	}
	for b, ob := range l.buckets {
		if selected(b) {
			ob.refill(now)
			list = append(list, ob.balance(b))
		}
	}
	slices.SortFunc(list, func(x, y Balance) int { return x.Bucket.Compare(y.Bucket) })
	return list
}

// Drop drops the selected buckets because their shard has a new owner.
func (l *Ledger) Drop(selected func(Bucket) bool) {
	for b := range l.buckets {
		if selected(b) {
			delete(l.buckets, b)
		}
	}
}

// DropIdle drops buckets that have been idle long enough to be full again.
func (l *Ledger) DropIdle(now time.Time) {
	for b, ob := range l.buckets {
		fillTime := time.Duration(ob.limit.Burst / ob.limit.RatePerSecond * float64(time.Second))
		if now.Sub(ob.lastUsed) > fillTime+l.timing.ShareTTL+l.timing.Margin {
			delete(l.buckets, b)
		}
	}
}

// Len returns the number of buckets held.
func (l *Ledger) Len() int {
	return len(l.buckets)
}

func (l *Ledger) bucket(now time.Time, t Tenure, limit rules.Limit, b Bucket) *ownerBucket {
	ob := l.buckets[b]
	if ob == nil || ob.epoch != t.Epoch {
		ob = newOwnerBucket(l.timing, t, limit, b)
		l.buckets[b] = ob
	}
	ob.lastUsed = now
	ob.limit = limit
	return ob
}

// grantable returns how many whole tokens may be granted now.
func (ob *ownerBucket) grantable(want int) int {
	// What a former owner may have granted isn't counted here: it will have expired before another owner can
	// begin, and the level already allows for it within the burst.
	free := max(1, maxGrantedPart*ob.limit.Burst) - ob.inGrants() + ob.formerGrants.burst
	return max(0, int(math.Floor(min(ob.level, free, float64(want)))))
}

func (ob *ownerBucket) newGrant(now time.Time, t Timing, tokens int) Grant {
	id := ob.nextID()
	ob.level -= float64(tokens)
	ob.grants[id] = outstandingGrant{tokens, now.Add(t.GrantTTL + t.Margin)}
	return Grant{ID: id, Tokens: tokens, TTL: t.GrantTTL}
}

// updateShare renews, creates or resizes the share of a host that uses the bucket.
func (ob *ownerBucket) updateShare(now time.Time, t Timing, req TokenRequest) Share {
	held := ob.shares[req.Share.ID]
	if held != nil && req.Share.Revision == held.revision {
		held.confirm()
	}
	ob.recordRate(now, req)
	if req.RequestRate <= 0 {
		return Share{}
	}
	want := ob.fairShare(req.RequestRate)
	switch {
	case held == nil:
		held = ob.newShare(want)
	case want > held.rate*resizeFactor || want < held.rate/resizeFactor:
		ob.resizeShare(held, want)
	}
	if held == nil {
		return Share{}
	}
	held.expires = now.Add(t.ShareTTL + t.Margin)
	x := Share{ID: held.id, Revision: held.revision, Rate: held.rate, Burst: held.burst, TTL: t.ShareTTL, Tokens: held.tokens}
	held.tokens = 0
	return x
}

// recordRate records a host's rate of requests and drops hosts that have not reported within hostRateTTL.
func (ob *ownerBucket) recordRate(now time.Time, req TokenRequest) {
	ob.hostRates[req.Host] = hostRate{req.RequestRate, now}
	for h, r := range ob.hostRates {
		if r.rate <= 0 || now.Sub(r.reportedAt) > hostRateTTL {
			delete(ob.hostRates, h)
		}
	}
}

// fairShare returns the rate of a host's share: its part of the rate that may be in shares, in proportion to
// its rate of requests.
func (ob *ownerBucket) fairShare(rate float64) float64 {
	sum := 0.0
	for _, r := range ob.hostRates {
		sum += r.rate
	}
	return min(shareHeadroom*rate, maxSharedRatePart*ob.limit.RatePerSecond*rate/max(sum, rate))
}

func (ob *ownerBucket) newShare(rate float64) *outstandingShare {
	x := &outstandingShare{}
	ob.resizeShare(x, rate)
	if x.rate <= 0 || x.burst < 1 {
		return nil
	}
	x.id = ob.nextID()
	ob.shares[x.id] = x
	ob.capLevel()
	return x
}

// resizeShare changes a share's size. An increase counts at once and is limited to what is free; a decrease
// counts once the host has confirmed it.
func (ob *ownerBucket) resizeShare(x *outstandingShare, rate float64) {
	sharedRate, sharedBurst := ob.inShares()
	freeRate := maxSharedRatePart*ob.limit.RatePerSecond - (sharedRate - x.countedRate)
	freeBurst := min(maxShareBurst(ob.limit)-(sharedBurst-x.countedBurst), ob.limit.Burst-(ob.atHosts()-x.countedBurst))
	rate = min(rate, freeRate)
	burst := min(max(1, maxShareBurst(ob.limit)*rate/(maxSharedRatePart*ob.limit.RatePerSecond)), freeBurst)
	if rate <= 0 || burst < 1 {
		return
	}
	// Tokens of the owner move into the share, so that a full bucket stays full.
	added := min(ob.level, max(0, burst-x.countedBurst))
	ob.level -= added
	x.tokens += added
	x.revision++
	x.rate, x.burst = rate, burst
	x.countedRate, x.countedBurst = max(x.countedRate, rate), max(x.countedBurst, burst)
	ob.capLevel()
}

// maxShareBurst returns how much of a limit's burst may be in shares.
func maxShareBurst(l rules.Limit) float64 {
	return max(1, maxSharedBurstPart*l.Burst)
}
