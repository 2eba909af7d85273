package dispatch

import (
	"math"
	"time"
)

// bucket counts a workspace's rate: at most burst + rate*t requests in any window of length t.
type bucket struct {
	rate   Rate
	tokens float64
	at     time.Time
}

// startShare is the part of its burst that a workspace has when counting starts: a dispatcher that
// takes over doesn't know what was spent before.
const startShare = 0.25

// start is what may be spent when counting starts.
func (r Rate) start() float64 {
	if r.HasInitialTokens {
		return r.InitialTokens
	}
	return math.Max(1, startShare*r.Burst)
}

func newBucket(now time.Time, r Rate) *bucket {
	return &bucket{rate: r, tokens: r.start(), at: now}
}

// set changes the rate. What was earned before stays, within the new burst.
func (b *bucket) set(now time.Time, r Rate) {
	b.refill(now)
	b.rate = r
	b.tokens = math.Min(b.tokens, r.Burst)
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.tokens = math.Min(b.rate.Burst, b.tokens+d*b.rate.PerSecond)
		b.at = now
	}
}

// take spends a token, or says how long until there is one.
func (b *bucket) take(now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate.PerSecond <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / b.rate.PerSecond * float64(time.Second))
}

// owe takes a token for a further send of a request that was admitted, at the cost of later ones: a request that
// servers fail runs more than once, and each run is the workspace's.
func (b *bucket) owe(now time.Time) {
	b.refill(now)
	b.tokens = math.Max(-b.rate.Burst, b.tokens-1)
}

// limit leaves no more in hand than a rate still allows after what was spent of it lately.
func (b *bucket) limit(now time.Time, r Rate, spent int) {
	b.refill(now)
	left := r.Burst + r.PerSecond*spentSpan.Seconds() - float64(spent)
	b.tokens = math.Min(b.tokens, math.Max(0, left))
}

// giveBack returns a token that was taken for a request that did not run.
func (b *bucket) giveBack() {
	b.tokens = math.Min(b.rate.Burst, b.tokens+1)
}
