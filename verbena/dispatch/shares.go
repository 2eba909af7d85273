package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// usageSpan is the span over which a workspace's requests at this host are averaged.
	usageSpan = 8 * time.Second
	// evenPart is the share of the rate that is divided evenly among hosts while they decide alone,
	// for workspaces that this host has not seen lately.
	evenPart = 0.5
	// growth is how much more than lately a workspace may send that isn't near its rate.
	growth = 1.25
	// leastBurst is what this host may admit at once of a workspace that it has hardly seen.
	leastBurst = 2
	// ownBurst is the time for which this host's part may be spent at once, ownStart that at the beginning.
	ownBurst = 2 * time.Second
	ownStart = 500 * time.Millisecond
	// overRateFor is how long after a refusal for its rate a workspace counts as being at its rate.
	overRateFor = 10 * time.Second
)

// Shares counts how many requests of each workspace were admitted at this host, so that it can go on
// with them alone. Of workspaces at their rates, the parts of all hosts together are what was admitted
// before, which is the rate; of others they may be more.
type LocalRates struct {
	lately   map[ids.WorkspaceID]*decaying
	overRate map[ids.WorkspaceID]time.Time
	// base is what was admitted before this host began to decide alone.
	base map[ids.WorkspaceID]float64
}

// NewShares returns shares of a host that has admitted nothing.
func NewLocalRates() *LocalRates {
	return &LocalRates{
		lately: make(map[ids.WorkspaceID]*decaying), overRate: make(map[ids.WorkspaceID]time.Time), base: make(map[ids.WorkspaceID]float64),
	}
}

// Add counts a request that the dispatching host admitted.
func (s *LocalRates) CountAdmitted(now time.Time, w ids.WorkspaceID) {
	count(s.lately, now, w)
}

// Lately returns what was admitted at this host lately, by workspace.
func (s *LocalRates) RecentRates(now time.Time) map[ids.WorkspaceID]float64 {
	return ratesAt(s.lately, now)
}

// AddAlone counts a request that this host admitted alone, so that its part lasts, and doesn't grow by itself.
func (s *LocalRates) CountAdmittedLocally(now time.Time, w ids.WorkspaceID) {
	if r, ok := s.lately[w]; ok && r.rate(now) < s.base[w] {
		r.add(now)
	}
}

// NoteOverRate notes that a workspace was refused for its rate, and tells whether that is news.
func (s *LocalRates) NoteOverRate(now time.Time, w ids.WorkspaceID) (first bool) {
	at, ok := s.overRate[w]
	s.overRate[w] = now
	return !ok || now.Sub(at) > overRateFor
}

// Begin notes what was admitted before this host decides alone.
func (s *LocalRates) BeginLocal(now time.Time) {
	clear(s.base)
	for w, r := range s.lately {
		s.base[w] = r.rate(now)
	}
}

// Parts divides rates among hosts that decide alone.
func (s *LocalRates) Limits(now time.Time, rates map[ids.WorkspaceID]Rate, hosts int) map[ids.WorkspaceID]Rate {
	parts := make(map[ids.WorkspaceID]Rate, len(rates))
	for w, r := range rates {
		parts[w] = s.part(now, w, r, hosts)
	}
	for w := range s.lately {
		if _, ok := rates[w]; !ok {
			delete(s.lately, w)
		}
	}
	for w, at := range s.overRate {
		if now.Sub(at) > overRateFor {
			delete(s.overRate, w)
		}
	}
	return parts
}

// part is this host's part of one rate.
func (s *LocalRates) part(now time.Time, w ids.WorkspaceID, r Rate, hosts int) Rate {
	before := s.base[w]
	if at, ok := s.overRate[w]; ok && now.Sub(at) <= overRateFor {
		own := math.Min(before, r.PerSecond)
		return Rate{PerSecond: own, Burst: math.Max(1, math.Min(r.Burst, own*ownBurst.Seconds())), InitialTokens: own * ownStart.Seconds(), HasInitialTokens: true}
	}
	own := math.Min(r.PerSecond, growth*before+evenPart*r.PerSecond/float64(max(1, hosts)))
	return Rate{PerSecond: own, Burst: math.Min(r.Burst, math.Max(leastBurst, own*ownBurst.Seconds()))}
}

// decaying is a rate averaged over usageSpan.
type decaying struct {
	perSecond float64
	at        time.Time
}

func (d *decaying) rate(now time.Time) float64 {
	if spent := now.Sub(d.at); spent > 0 {
		d.perSecond *= math.Exp(-float64(spent) / float64(usageSpan))
		d.at = now
	}
	return d.perSecond
}

func (d *decaying) add(now time.Time) {
	d.perSecond = d.rate(now) + 1/usageSpan.Seconds()
}

// count adds a request to its workspace's average.
func count(averages map[ids.WorkspaceID]*decaying, now time.Time, w ids.WorkspaceID) {
	d, ok := averages[w]
	if !ok {
		d = &decaying{at: now}
		averages[w] = d
	}
	d.add(now)
}

// least is a rate that isn't worth telling, a request in half a minute.
const least = 0.03

// ratesAt returns averages at a moment.
func ratesAt(averages map[ids.WorkspaceID]*decaying, now time.Time) map[ids.WorkspaceID]float64 {
	rates := make(map[ids.WorkspaceID]float64, len(averages))
	for w, d := range averages {
		if r := d.rate(now); r >= least {
			rates[w] = r
		}
	}
	return rates
}
