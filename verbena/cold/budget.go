// Package cold decides how many requests a backend server gets that has just started, or has become cold again. A cold server
// crashes at a rate of requests well above the one that it tolerates.
package cold

import (
	"math"
	"slices"
	"time"
)

const (
	// burst is how many requests a cold server may get at once.
	burst = 2.0
	// window is the time within which the requests to a server are counted, and windowMargin the longest difference of the times
	// that two requests take on their way.
	window       = time.Second
	windowMargin = 100 * time.Millisecond
	// maxShareOfBound is the part of the bound that a server gets whose phase isn't known: it may have become cold since its last
	// registration.
	maxShareOfBound = 0.85
)

// Bound is what the cold servers of a service tolerate, from all hosts together. The zero value is no bound.
type Bound struct {
	// PerSecond is the rate that a cold server tolerates.
	PerSecond float64
	// MaxInSecond is the most requests that a cold server may get within any second.
	MaxInSecond float64
}

// Budget keeps the requests to one server within its bound: a token bucket while the server is known to be cold, and a count of
// the last second at all times. The zero value has no bound.
type Budget struct {
	bound Bound
	// share is the part of the bound that may be used here.
	share float64
	// independent is set if others send to the server without a common count. Then only a known cold phase counts.
	independent bool
	until       time.Time
	tokens      float64
	refilledAt  time.Time
	// recent holds the times of the last requests, the oldest at next.
	recent []time.Time
	next   int
}

// SetBound sets the bound of the server's service.
func (b *Budget) SetBound(bound Bound) {
	if b.bound == bound {
		return
	}
	kept := b.inOrder()
	b.bound, b.recent, b.next = bound, nil, 0
	if bound.PerSecond <= 0 {
		return
	}
	n := max(1, int(bound.MaxInSecond*maxShareOfBound))
	b.recent = make([]time.Time, n)
	kept = kept[max(0, len(kept)-n):] // the newest
	copy(b.recent[n-len(kept):], kept)
}

// inOrder returns the times of the last requests, the oldest first.
func (b *Budget) inOrder() []time.Time {
	return append(append(make([]time.Time, 0, len(b.recent)), b.recent[b.next:]...), b.recent[:b.next]...)
}

// SetShare sets the part of the bound that may be used here. independent is set if the others that send to the server count for
// themselves.
func (b *Budget) SetShare(now time.Time, share float64, independent bool) {
	b.refill(now)
	b.share, b.independent = share, independent
}

// Begin records that the server is cold until a time. A phase that lasts on keeps its tokens.
func (b *Budget) Begin(now, until time.Time) {
	if !b.IsCold(now) {
		b.tokens, b.refilledAt = 0, now
	}
	b.until = until
}

// End records that the server isn't cold.
func (b *Budget) End() { b.until = time.Time{} }

// Empty takes all tokens: others may have used them.
func (b *Budget) Empty(now time.Time) { b.tokens, b.refilledAt = 0, now }

// IsBounded reports whether the server's service has a bound.
func (b *Budget) IsBounded() bool { return b.bound.PerSecond > 0 }

// IsCold reports whether the server is known to be cold.
func (b *Budget) IsCold(now time.Time) bool { return now.Before(b.until) }

// Rate returns how many requests a second a cold server may get from here.
func (b *Budget) Rate() (perSecond float64) { return b.share * b.bound.PerSecond }

// Ready reports whether the server may get a request now.
func (b *Budget) Ready(now time.Time) bool { return b.ready(now, 1) }

// ReadyForBatch reports whether it may get a batch item now, which leaves a request to callers while the server is cold.
func (b *Budget) ReadyForBatch(now time.Time) bool { return b.ready(now, b.maxTokens()) }

func (b *Budget) ready(now time.Time, tokens float64) bool {
	if !b.IsBounded() {
		return true
	}
	if b.IsCold(now) {
		b.refill(now)
		if b.tokens < tokens {
			return false
		}
	}
	return b.independent || len(b.recent) == 0 || now.Sub(b.recent[b.next]) > window+windowMargin
}

// Adopt counts a request that another scheduler granted at an earlier time.
func (b *Budget) Adopt(now, granted time.Time) {
	if len(b.recent) == 0 || now.Sub(granted) > window+windowMargin {
		return
	}
	ordered := b.inOrder()
	if granted.Before(ordered[0]) {
		return // as many newer ones are counted
	}
	ordered[0] = granted
	slices.SortFunc(ordered, time.Time.Compare)
	b.recent, b.next = ordered, 0
}

// Take counts a request that is sent now.
func (b *Budget) Take(now time.Time) {
	if len(b.recent) > 0 {
		b.recent[b.next] = now
		b.next = (b.next + 1) % len(b.recent)
	}
	if b.IsCold(now) {
		b.refill(now)
		b.tokens = math.Max(b.tokens-1, -burst)
	}
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.tokens = math.Min(b.maxTokens(), b.tokens+elapsed*b.Rate())
		b.refilledAt = now
	}
}

// maxTokens is at least one: with less, no request could be sent.
func (b *Budget) maxTokens() float64 { return math.Max(1, b.share*burst) }
