// Package shutdown decides whether a host that shuts down still begins a request. What has begun can't be handed over to another
// host: a response that is in progress when the host ends is cut, and the caller of a request without a response doesn't learn
// whether it ran. A request that isn't begun can be repeated at another host.
package shutdown

import "time"

const (
	// durationsPeriod is how often the durations of the period before the last one are forgotten.
	durationsPeriod = time.Minute
	// minObservations is how many requests of a route must have ended lately before their durations are relied on.
	minObservations = 20
	// silenceAllowance is added to the longest duration seen: a sound server may send nothing for a second or so.
	silenceAllowance = 1500 * time.Millisecond
	// never is the result of LatestStart for a request that can't be expected to end in time.
	never = -time.Nanosecond
)

// Durations records how long requests took lately, by route.
type Durations struct {
	// current holds the durations since periodStart, previous those of the period before.
	current, previous map[string]*observations
	periodStart       time.Time
}

// NewDurations returns an empty record.
func NewDurations() *Durations {
	return &Durations{current: make(map[string]*observations)}
}

// Observe records the end of a request.
func (d *Durations) Observe(now time.Time, e Ended) {
	d.advance(now)
	o, ok := d.current[e.Route]
	if !ok {
		o = &observations{}
		d.current[e.Route] = o
	}
	seen := observations{longest: e.Took, unbuffered: e.Unbuffered}
	if e.Complete {
		seen.count, seen.total, seen.largest = 1, e.Took, e.Size
	}
	o.add(seen)
}

// LatestStart returns how long a request may wait before it is sent to a server, if the host ends requests after the given time.
// It is negative if the request isn't to be sent any more.
func (d *Durations) LatestStart(now time.Time, r Request, left time.Duration) time.Duration {
	d.advance(now)
	seen := d.observed(r.Route)
	answered := r.Repeatable && !seen.unbuffered // its caller gets an answer in any case
	switch {
	case r.Remaining <= left:
		return r.Remaining // its own time is over before the host's
	case answered && r.Sent:
		return left
	case answered && seen.count > 0:
		return left - seen.mean()
	case !seen.covers(r.Size):
		return never
	}
	return left - seen.longest - silenceAllowance
}

// advance begins a new period if the current one is over.
func (d *Durations) advance(now time.Time) {
	elapsed := now.Sub(d.periodStart)
	if elapsed < durationsPeriod {
		return
	}
	d.previous = d.current
	if elapsed >= 2*durationsPeriod {
		d.previous = nil
	}
	d.current, d.periodStart = make(map[string]*observations), now
}

// observed returns the durations of a route in both periods.
func (d *Durations) observed(route string) (o observations) {
	for _, period := range []map[string]*observations{d.previous, d.current} {
		if seen, ok := period[route]; ok {
			o.add(*seen)
		}
	}
	return o
}
