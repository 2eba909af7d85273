package promptcache

import (
	"math"
	"time"
)

const (
	// readingWeight is the least weight of one answer: the last hundred or so count.
	readingWeight = 0.02
	// minSamples is how many answers are needed before the speed counts as known.
	minSamples = 20
	// minCertainty is how many standard errors the time for a token must be above zero. With fewer, differences that other
	// causes make pass for reading in one of thousands of estimates.
	minCertainty = 4.0
	// minExplained is the share of the differences between answers that the known speed would cause if answers that show none are to
	// refute it. Where all long parts are held, all prompts take about the same time, which says nothing of the speed.
	minExplained = 0.2
	// maxDeviations limits what a single late answer changes, beyond minLateSeconds: reading 40,000 tokens takes 0.4 s, which must
	// count among answers to prompts that were held.
	maxDeviations  = 4.0
	minLateSeconds = 0.5
	// maxTokenSeconds bounds the time for a token; the slowest known servers read 61 in a millisecond.
	maxTokenSeconds = 0.001
)

// Reading learns how long the servers of a service take to read a token: the slope of the times to the first byte over the tokens
// that were read. The zero value knows nothing.
type Reading struct {
	samples                   float64
	meanTokens, meanSeconds   float64
	varTokens, varSeconds     float64
	covariance, tokenDuration float64
}

// Observe adds an answer whose server read a number of tokens before its first byte.
func (r *Reading) Observe(tokens int, firstByte time.Duration) {
	if tokens < 0 || firstByte <= 0 {
		return
	}
	x, y := float64(tokens), firstByte.Seconds()
	if sd := math.Sqrt(r.varSeconds); r.samples >= minSamples && sd > 0 {
		y = min(y, r.meanSeconds+r.tokenDuration*(x-r.meanTokens)+max(maxDeviations*sd, minLateSeconds))
	}
	r.samples++
	w := max(readingWeight, 1/r.samples)
	dx, dy := x-r.meanTokens, y-r.meanSeconds
	r.meanTokens += w * dx
	r.meanSeconds += w * dy
	r.varTokens = (1 - w) * (r.varTokens + w*dx*dx)
	r.varSeconds = (1 - w) * (r.varSeconds + w*dy*dy)
	r.covariance = (1 - w) * (r.covariance + w*dx*dy)
	if r.samples < minSamples {
		return
	}
	if slope, certain := r.slope(); certain {
		r.tokenDuration = min(maxTokenSeconds, slope)
	} else if r.tokenDuration*r.tokenDuration*r.varTokens > minExplained*r.varSeconds {
		r.tokenDuration = 0 // the answers would differ by their tokens if the speed were still the known one
	}
}

// slope returns the time for a token by the answers, and whether they show it.
func (r *Reading) slope() (secondsPerToken float64, certain bool) {
	if r.varTokens <= 0 || r.varSeconds <= 0 || r.covariance <= 0 {
		return 0, false
	}
	explained := min(1, r.covariance*r.covariance/(r.varTokens*r.varSeconds))
	n := min(r.samples, 2/readingWeight)
	return r.covariance / r.varTokens, explained*(n-2) >= minCertainty*minCertainty*(1-explained)
}

// TokenSeconds returns the time to read a token, 0 if it is unknown.
func (r *Reading) TokenSeconds() float64 { return r.tokenDuration }

// Time returns the time to read tokens, 0 if it is unknown.
func (r *Reading) Time(tokens int) time.Duration {
	return time.Duration(r.tokenDuration * float64(tokens) * float64(time.Second))
}
