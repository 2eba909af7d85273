package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// failureWeight is the weight of one outcome in a server's failure rate, a moving average.
	failureWeight = 0.2
	// failureDecayTime is the time constant with which a failure rate decays; servers restart within seconds.
	failureDecayTime = 10 * time.Second
	// failureCost weighs a server's failure rate against its load: one failure in twelve counts as much as four more
	// requests on it, so that a server that fails occasionally is used when the others are busy.
	failureCost = 1.0
	// failingRate is the failure rate from which on callers prefer a batch item's slot on another server: it is reached
	// with one or two failures in the last seconds.
	failingRate = 0.15
	// minAvoidance is how long a host prefers other servers to one that failed its request; it doubles with each
	// consecutive failure, up to maxAvoidance. Other hosts use the server's slots meanwhile.
	minAvoidance = 2 * time.Second
	maxAvoidance = 16 * time.Second
	// A failure rate counts as zero below negligibleFailureRate or failureExpiry after the last outcome.
	negligibleFailureRate = 0.001
	failureExpiry         = 6 * failureDecayTime
	// hostFailureExpiry is how long the failures of a host that no longer uses the server are kept.
	hostFailureExpiry = 30 * time.Second
)

// failures tracks how often a server fails, and for which hosts. A server may fail for some hosts only, and be healthy
// by its own report.
type failures struct {
	average   float64
	updatedAt time.Time
	// hosts holds the hosts whose last send failed.
	hosts map[ids.HostID]*hostFailures
}

type hostFailures struct {
	consecutive int
	// The host doesn't use the server until ejectedUntil, and uses it after all others until avoidedUntil.
	ejectedUntil, avoidedUntil time.Time
}

// rate is the share of sends that failed; it decays with the time since the last outcome.
func (f *failures) rate(now time.Time) float64 {
	if f.average < negligibleFailureRate || now.Sub(f.updatedAt) > failureExpiry {
		return 0
	}
	return f.average * math.Exp(-float64(now.Sub(f.updatedAt))/float64(failureDecayTime))
}

func (f *failures) recordSuccess(now time.Time, host ids.HostID) {
	delete(f.hosts, host)
	f.average, f.updatedAt = f.rate(now)*(1-failureWeight), now
}

func (f *failures) recordFailure(now time.Time, host ids.HostID, result Result) {
	r := f.rate(now)
	f.average, f.updatedAt = r+failureWeight*(1-r), now
	h, ok := f.hosts[host]
	if !ok {
		f.removeExpiredHosts(now)
		h = &hostFailures{}
		f.hosts[host] = h
	}
	h.avoidedUntil = now.Add(min(maxAvoidance, minAvoidance<<min(h.consecutive, maxDoublings)))
	h.consecutive++
	h.ejectedUntil = now.Add(ejectionTime(h.consecutive, result))
}

// removeExpiredHosts removes hosts that no longer use the server.
func (f *failures) removeExpiredHosts(now time.Time) {
	if f.hosts == nil {
		f.hosts = make(map[ids.HostID]*hostFailures)
	}
	for host, h := range f.hosts {
		if now.Sub(h.avoidedUntil) > hostFailureExpiry {
			delete(f.hosts, host)
		}
	}
}

// failing reports whether the server fails so often that callers are better served elsewhere, or has not answered since
// it stalled.
func (s *server) failing(now time.Time) bool {
	return s.onProbation(now) || s.failures.rate(now) >= failingRate
}

// suitability is how well a server suits a host.
type suitability int

const (
	suitable suitability = iota
	// lastResort: used after all other servers, even those where a batch item must yield.
	lastResort
	// unsuitable: not used by this host.
	unsuitable
)

// suitabilityFor returns how well the server suits a host, whether or not it serves others.
func (f *failures) suitabilityFor(now time.Time, host ids.HostID) suitability {
	h, ok := f.hosts[host]
	switch {
	case !ok:
		return suitable
	case now.Before(h.ejectedUntil):
		return unsuitable
	case now.Before(h.avoidedUntil):
		return lastResort
	}
	return suitable
}
