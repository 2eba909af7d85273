package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// rateAveragingTime is the time constant for averaging a workspace's requests at this host.
	rateAveragingTime = 8 * time.Second
	// evenShare is the share of a rate that is divided evenly among hosts while they decide locally. It serves workspaces
	// that this host has not seen recently.
	evenShare = 0.5
	// growthFactor times its recent rate, plus its part of evenShare, is what a workspace that isn't at its rate may send.
	growthFactor = 1.25
	// minBurst is how many requests this host may admit at once for a workspace that it has hardly seen.
	minBurst = 2
	// localBurstTime times the host's part of a rate is its burst; localInitialTime times that part is its initial number
	// of tokens.
	localBurstTime   = 2 * time.Second
	localInitialTime = 500 * time.Millisecond
	// overRateTime is how long a workspace counts as being at its rate after a refusal for its rate.
	overRateTime = 10 * time.Second
)

// LocalRates counts how many requests of each workspace were admitted at this host, so that the host can continue at
// these rates when it decides locally. For a workspace at its rate, the limits of all hosts add up to what was admitted
// before, which is the rate; for others they may add up to more.
type LocalRates struct {
	admitted   map[ids.WorkspaceID]*decayingRate
	overRateAt map[ids.WorkspaceID]time.Time
	// baseRates are the rates that were admitted before this host began to decide locally.
	baseRates map[ids.WorkspaceID]float64
}

// NewLocalRates returns the LocalRates of a host that has admitted nothing.
func NewLocalRates() *LocalRates {
	return &LocalRates{
		admitted: make(map[ids.WorkspaceID]*decayingRate), overRateAt: make(map[ids.WorkspaceID]time.Time), baseRates: make(map[ids.WorkspaceID]float64),
	}
}

// CountAdmitted counts a request that the dispatcher or its standby admitted for this host.
func (l *LocalRates) CountAdmitted(now time.Time, w ids.WorkspaceID) {
	countRequest(l.admitted, now, w)
}

// RecentRates returns the recent rate of admitted requests of each workspace at this host.
func (l *LocalRates) RecentRates(now time.Time) map[ids.WorkspaceID]float64 {
	return ratesAt(l.admitted, now)
}

// CountAdmittedLocally counts a request that this host admitted by itself. It keeps the workspace's average from decaying
// below its base rate but doesn't raise it further, so that the host's part doesn't grow by itself.
func (l *LocalRates) CountAdmittedLocally(now time.Time, w ids.WorkspaceID) {
	if r, ok := l.admitted[w]; ok && r.rate(now) < l.baseRates[w] {
		r.add(now)
	}
}

// RecordOverRate records that a workspace was refused for its rate. first reports whether it didn't count as being at its
// rate before.
func (l *LocalRates) RecordOverRate(now time.Time, w ids.WorkspaceID) (first bool) {
	refusedAt, ok := l.overRateAt[w]
	l.overRateAt[w] = now
	return !ok || now.Sub(refusedAt) > overRateTime
}

// BeginLocal takes the current averages as base rates. It must be called when this host begins to decide locally.
func (l *LocalRates) BeginLocal(now time.Time) {
	clear(l.baseRates)
	for w, r := range l.admitted {
		l.baseRates[w] = r.rate(now)
	}
}

// Limits returns this host's part of each rate while the given number of hosts decide locally.
func (l *LocalRates) Limits(now time.Time, rates map[ids.WorkspaceID]Rate, hosts int) map[ids.WorkspaceID]Rate {
	limits := make(map[ids.WorkspaceID]Rate, len(rates))
	for w, r := range rates {
		limits[w] = l.limit(now, w, r, hosts)
	}
	for w := range l.admitted {
		if _, ok := rates[w]; !ok {
			delete(l.admitted, w)
		}
	}
	for w, refusedAt := range l.overRateAt {
		if now.Sub(refusedAt) > overRateTime {
			delete(l.overRateAt, w)
		}
	}
	return limits
}

// limit returns this host's part of one rate.
func (l *LocalRates) limit(now time.Time, w ids.WorkspaceID, r Rate, hosts int) Rate {
	base := l.baseRates[w]
	if refusedAt, ok := l.overRateAt[w]; ok && now.Sub(refusedAt) <= overRateTime {
		local := math.Min(base, r.PerSecond)
		return Rate{
			PerSecond: local, Burst: math.Max(1, math.Min(r.Burst, local*localBurstTime.Seconds())),
			InitialTokens: local * localInitialTime.Seconds(), HasInitialTokens: true,
		}
	}
	local := math.Min(r.PerSecond, growthFactor*base+evenShare*r.PerSecond/float64(max(1, hosts)))
	return Rate{PerSecond: local, Burst: math.Min(r.Burst, math.Max(minBurst, local*localBurstTime.Seconds()))}
}

// decayingRate is an exponential moving average over rateAveragingTime.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

func (d *decayingRate) rate(now time.Time) float64 {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.perSecond *= math.Exp(-float64(elapsed) / float64(rateAveragingTime))
		d.updatedAt = now
	}
	return d.perSecond
}

func (d *decayingRate) add(now time.Time) {
	d.perSecond = d.rate(now) + 1/rateAveragingTime.Seconds()
}

// countRequest adds a request to its workspace's average.
func countRequest(averages map[ids.WorkspaceID]*decayingRate, now time.Time, w ids.WorkspaceID) {
	d, ok := averages[w]
	if !ok {
		d = &decayingRate{updatedAt: now}
		averages[w] = d
	}
	d.add(now)
}

// negligibleRate, one request in half a minute, is too low to report.
const negligibleRate = 0.03

// ratesAt returns the averages at the given time, without negligible ones.
func ratesAt(averages map[ids.WorkspaceID]*decayingRate, now time.Time) map[ids.WorkspaceID]float64 {
	rates := make(map[ids.WorkspaceID]float64, len(averages))
	for w, d := range averages {
		if r := d.rate(now); r >= negligibleRate {
			rates[w] = r
		}
	}
	return rates
}
