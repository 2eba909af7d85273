package dispatch

import (
	"math"
	"time"
)

// bucket is a token bucket for a workspace's rate: it admits at most burst + rate*t requests in any window of length t.
type bucket struct {
	rate       Rate
	tokens     float64
	refilledAt time.Time
	// returning are the callers that were refused for the rate.
	returning returnTimes
}

// initialShare is the share of its burst that a workspace has when counting starts: a dispatcher that takes over doesn't
// know how much was used before.
const initialShare = 0.25

// initialTokens is the number of requests that may be admitted when counting starts.
func (r Rate) initialTokens() float64 {
	if r.HasInitialTokens {
		return r.InitialTokens
	}
	return math.Max(1, initialShare*r.Burst)
}

func newBucket(now time.Time, r Rate) *bucket {
	return &bucket{rate: r, tokens: r.initialTokens(), refilledAt: now}
}

// set changes the rate. Tokens that have accrued remain, up to the new burst.
func (b *bucket) set(now time.Time, r Rate) {
	b.refill(now)
	b.rate = r
	b.tokens = math.Min(b.tokens, r.Burst)
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.tokens = math.Min(b.rate.Burst, b.tokens+d*b.rate.PerSecond)
		b.refilledAt = now
	}
}

// take uses a token, or returns the time until there is one.
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

// takeOnCredit takes a token for a retry of an admitted request, even if there is none, so that later requests wait for
// it: a request whose server fails runs more than once, and each run counts against the workspace's rate.
func (b *bucket) takeOnCredit(now time.Time) {
	b.refill(now)
	b.tokens = math.Max(-b.rate.Burst, b.tokens-1)
}

// limitTokens limits the tokens to what the rate still allows after the requests admitted in the last admissionWindow.
func (b *bucket) limitTokens(now time.Time, r Rate, admitted int) {
	b.refill(now)
	allowed := r.Burst + r.PerSecond*admissionWindow.Seconds() - float64(admitted)
	b.tokens = math.Min(b.tokens, math.Max(0, allowed))
}

// refund returns a token that was taken for a request that did not run.
func (b *bucket) refund() {
	b.tokens = math.Min(b.rate.Burst, b.tokens+1)
}
