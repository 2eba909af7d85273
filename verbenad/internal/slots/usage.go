package slots

import (
	"math"
	"time"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
)

const (
	// usageSpan is the span over which a workspace's requests at this host are averaged.
	usageSpan = 8 * time.Second
	// evenPart is the share of the rate that is divided evenly among hosts while they decide alone,
	// for workspaces that this host has not seen lately.
	evenPart = 0.5
	// growth is how much more than lately a workspace may send.
	growth = 1.25
	// leastBurst is what this host may admit at once of a workspace that it has hardly seen.
	leastBurst = 2
	// ownBurst is the time for which this host's part may be spent at once.
	ownBurst = 2 * time.Second
)

// usage counts how many requests of each workspace were admitted at this host, so that it can go on
// with them alone: the parts of all hosts together are what was admitted before.
type usage struct {
	rates map[ids.WorkspaceID]*decaying
}

// decaying is a rate averaged over usageSpan.
type decaying struct {
	perSecond float64
	at        time.Time
}

func newUsage() *usage {
	return &usage{rates: make(map[ids.WorkspaceID]*decaying)}
}

func (d *decaying) decay(now time.Time) {
	if spent := now.Sub(d.at); spent > 0 {
		d.perSecond *= math.Exp(-float64(spent) / float64(usageSpan))
		d.at = now
	}
}

func (u *usage) add(now time.Time, w ids.WorkspaceID) {
	d, ok := u.rates[w]
	if !ok {
		d = &decaying{at: now}
		u.rates[w] = d
	}
	d.decay(now)
	d.perSecond += 1 / usageSpan.Seconds()
}

// parts divides rates: what this host admitted lately, and an even part beside.
func (u *usage) parts(now time.Time, rates map[ids.WorkspaceID]dispatch.Rate, hosts int) map[ids.WorkspaceID]dispatch.Rate {
	parts := make(map[ids.WorkspaceID]dispatch.Rate, len(rates))
	for w, r := range rates {
		own := evenPart * r.PerSecond / float64(max(1, hosts))
		if d, ok := u.rates[w]; ok {
			d.decay(now)
			own += growth * d.perSecond
		}
		own = math.Min(own, r.PerSecond)
		parts[w] = dispatch.Rate{PerSecond: own, Burst: math.Min(r.Burst, math.Max(leastBurst, own*ownBurst.Seconds()))}
	}
	for w := range u.rates {
		if _, ok := rates[w]; !ok {
			delete(u.rates, w)
		}
	}
	return parts
}
