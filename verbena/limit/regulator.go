package limit

import (
	"math"
	"time"
)

const (
	// probePerSecond is the least rate of requests to a server with a limit: without an answer, it couldn't say that the
	// limit has ended.
	probePerSecond RequestsPerSecond = 0.25
	// savedTime times the rate, and one request more, is how many requests are saved up while fewer are sent.
	savedTime = 4 * time.Second
	// Callers' requests may exceed the average rate: within windowTime, windowFactor times what the rate allows and up to
	// windowSlack requests more are sent. Servers accept 1.5 times what the rate allows and 5 requests more. The rest is a
	// margin for requests that are on their way for up to a quarter of a second, and for two more.
	windowFactor = 1.4375
	windowSlack  = 3.0
	// Within windowTime, steadyFactor times what the rate allows may be sent whatever was sent before: batch items must go on
	// while bursts of callers follow one another.
	steadyFactor = 0.75
	// maxDebtTime bounds for how long a server gets no batch items after callers exceeded its rate.
	maxDebtTime = 4 * time.Second
	// endMemory is how long after the end of a limit requests count, in case that the server names one again.
	endMemory = 4 * time.Second
)

// Regulator keeps the requests to one server within the limit that it names. A token bucket keeps the average to the limit,
// a count of the recent requests bounds by how much callers' requests may exceed it. Answers overtake one another, so their
// order is known only where a request was granted after an earlier answer had become known. Among limits whose order isn't
// known, the lowest is in force.
type Regulator struct {
	named     bool
	perSecond RequestsPerSecond
	// namedAt is when the limit in force last became known, endedAt when it ended.
	namedAt, endedAt time.Time
	// share is the part of the limit that may be used here.
	share      float64
	tokens     float64
	refilledAt time.Time
	// recent counts the requests within windowTime. It is complete from countedFrom on.
	recent      RecentCount
	countedFrom time.Time
}

// NewRegulator returns a regulator of a server that names no limit, and whose earlier requests aren't known. share is the
// part of a limit that may be used here.
func NewRegulator(now time.Time, share float64) Regulator {
	return Regulator{share: share, countedFrom: now.Add(windowTime)}
}

// Observe applies what an answer says. granted is when the answer's request was granted, zero if unknown. It reports
// whether the limit in force has changed.
func (r *Regulator) Observe(now, granted time.Time, s Statement) (changed bool) {
	if r.named && !granted.After(r.namedAt) && (s.Kind != Named || s.PerSecond > r.perSecond) {
		return false // the answer that named the limit may be newer
	}
	if s.Kind == Named && !r.named && !r.remembers(now) {
		r.recent = RecentCount{} // the server took these requests without a limit
	}
	return r.Set(now, s)
}

// Set puts a limit in force, or ends it. It reports whether that is a change.
func (r *Regulator) Set(now time.Time, s Statement) (changed bool) {
	switch {
	case s.Kind == Named && s.PerSecond >= 0:
		return r.name(now, min(s.PerSecond, MaxPerSecond))
	case s.Kind == Unstated && r.named:
		r.refill(now)
		r.named, r.endedAt = false, now
		return true
	}
	return false
}

func (r *Regulator) name(now time.Time, perSecond RequestsPerSecond) (changed bool) {
	r.refill(now)
	if !r.named && !r.remembers(now) {
		r.tokens = 0
	}
	changed = !r.named || perSecond != r.perSecond
	r.named, r.perSecond, r.namedAt = true, perSecond, now
	r.clampTokens()
	return changed
}

// Adopt applies what another host knows: a limit that became known to it some time ago. It has no effect if a limit is in
// force here, or has ended since.
func (r *Regulator) Adopt(now time.Time, s Statement, age time.Duration) (changed bool) {
	if r.named || !r.endedAt.IsZero() && !now.Add(-age).After(r.endedAt) {
		return false
	}
	return r.Set(now, s)
}

// Restart records that the server has started again. The limit stays in force until an answer says otherwise, and one
// request may ask for that at once.
func (r *Regulator) Restart(now time.Time) {
	r.refill(now)
	r.tokens = 1
	r.recent, r.countedFrom = RecentCount{}, now.Add(windowTime)
}

// Pause keeps all requests from a server with a limit until those that others may have sent to it have left the window.
func (r *Regulator) Pause(now time.Time) {
	r.refill(now)
	r.tokens = 1 - r.rate()*windowTime.Seconds()
	r.countedFrom = now.Add(windowTime)
	r.clampTokens()
}

// SetShare sets the part of the limit that may be used here. What was saved up before is kept: the bound on recent requests
// follows the share.
func (r *Regulator) SetShare(now time.Time, share float64) {
	r.refill(now)
	r.share = share
}

// Statement returns the limit in force.
func (r *Regulator) Statement() Statement {
	if !r.named {
		return Statement{}
	}
	return Statement{Kind: Named, PerSecond: r.perSecond}
}

// IsLimited reports whether a limit is in force.
func (r *Regulator) IsLimited() bool { return r.named }

// Age returns how long ago the limit in force last became known.
func (r *Regulator) Age(now time.Time) time.Duration { return now.Sub(r.namedAt) }

// Rate returns how many requests a second may be sent from here on average. It is meaningless without a limit.
func (r *Regulator) Rate() (perSecond float64) { return r.rate() }

// MaxRate returns how many callers' requests a second may be sent from here. It is meaningless without a limit.
func (r *Regulator) MaxRate() (perSecond float64) {
	if r.IsProbed() {
		return r.rate()
	}
	return r.maxInWindow() / windowTime.Seconds()
}

// Saved returns how many requests are saved up, which may be a part of one.
func (r *Regulator) Saved(now time.Time) (requests float64) {
	r.refill(now)
	return math.Max(0, r.tokens)
}

// Ready reports whether a request may be sent now that keeps the average within the limit. That holds for all requests while
// no more than a part of the average has been sent recently, although callers may have exceeded it before.
func (r *Regulator) Ready(now time.Time) bool {
	if !r.named {
		return true
	}
	r.refill(now)
	next := float64(r.recent.Count(now) + 1)
	if r.share <= 0 || next > math.Max(1, r.maxInWindow()) {
		return false
	}
	return r.tokens >= 1 || !now.Before(r.countedFrom) && !r.IsProbed() && next <= steadyFactor*r.rate()*windowTime.Seconds()
}

// MayExceed reports whether a caller's request may be sent now, even if the average exceeds the limit.
func (r *Regulator) MayExceed(now time.Time) bool {
	if now.Before(r.countedFrom) || r.IsProbed() {
		return r.Ready(now)
	}
	return !r.named || r.share > 0 && float64(r.recent.Count(now)+1) <= r.maxInWindow() || r.Ready(now)
}

// Take counts a request. Those that are sent after the end of a limit count against the next one.
func (r *Regulator) Take(now time.Time) {
	r.recent.Add(now, 1)
	if r.named || r.remembers(now) {
		r.refill(now)
		r.tokens = math.Max(r.tokens-1, -r.rate()*maxDebtTime.Seconds())
	}
}

// AddRecent counts requests that others have sent within windowTime.
func (r *Regulator) AddRecent(now time.Time, requests int) { r.recent.Add(now, requests) }

func (r *Regulator) remembers(now time.Time) bool {
	return !r.endedAt.IsZero() && now.Sub(r.endedAt) < endMemory
}

// IsProbed reports whether the server takes so few requests that it only gets those that ask whether it takes more.
func (r *Regulator) IsProbed() bool { return r.named && r.perSecond < probePerSecond }

func (r *Regulator) rate() float64 { return r.share * float64(max(r.perSecond, probePerSecond)) }

// maxInWindow is the most requests within windowTime. A server that takes less than one request a second gets a smaller
// part of windowSlack.
func (r *Regulator) maxInWindow() float64 {
	return windowFactor*r.rate()*windowTime.Seconds() + windowSlack*r.share*math.Min(1, float64(r.perSecond))
}

func (r *Regulator) maxTokens() float64 { return 1 + r.rate()*savedTime.Seconds() }

func (r *Regulator) clampTokens() {
	r.tokens = math.Min(r.maxTokens(), math.Max(r.tokens, -r.rate()*maxDebtTime.Seconds()))
}

func (r *Regulator) refill(now time.Time) {
	if elapsed := now.Sub(r.refilledAt).Seconds(); elapsed > 0 {
		if !r.refilledAt.IsZero() {
			r.tokens = math.Min(math.Max(r.tokens, r.maxTokens()), r.tokens+elapsed*r.rate())
		}
		r.refilledAt = now
	}
}
