package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// illnessWeight is the weight of one outcome in a server's moving average of failures.
	illnessWeight = 0.2
	// illnessFor is the time in which what was seen of a server loses its weight; servers restart within seconds.
	illnessFor = 10 * time.Second
	// illnessCost weighs a server's share of failures: one in twelve counts as much as four more requests
	// on it, so that a server that fails now and then is used when the others are busy.
	illnessCost = 1.0
	// poorShare is the share of failures from which on a server is left to batch: one or two failures in
	// the last seconds.
	poorShare = 0.15
	// firstAvoided is how long a host prefers other servers to one that failed it; it doubles with each
	// failure in a row, up to longestAvoided. The slots serve the other hosts meanwhile.
	firstAvoided   = 2 * time.Second
	longestAvoided = 16 * time.Second
	// forgetShare and forgetAfter end the count of a server that serves well.
	forgetShare = 0.001
	forgetAfter = 6 * illnessFor
	// forgetHost is how long a host that no longer asks is remembered.
	forgetHost = 30 * time.Second
)

// illness is how often a server fails, and the hosts that it fails for. A server may be ill for some
// hosts only, and healthy by its own report.
type illness struct {
	share float64
	at    time.Time
	// hosts are those whose last send failed.
	hosts map[ids.HostID]*hostIllness
}

type hostIllness struct {
	inRow int
	// until then the server is left alone, and until avoided it is used after all others.
	until, avoided time.Time
}

// rate is the share of sends that failed, by what is still worth of what was seen.
func (i *illness) rate(now time.Time) float64 {
	if i.share < forgetShare || now.Sub(i.at) > forgetAfter {
		return 0
	}
	return i.share * math.Exp(-float64(now.Sub(i.at))/float64(illnessFor))
}

// served notes a send that ended well.
func (i *illness) served(now time.Time, host ids.HostID) {
	delete(i.hosts, host)
	i.share, i.at = i.rate(now)*(1-illnessWeight), now
}

// failed notes a send that failed.
func (i *illness) failed(now time.Time, host ids.HostID, v Result) {
	r := i.rate(now)
	i.share, i.at = r+illnessWeight*(1-r), now
	h, ok := i.hosts[host]
	if !ok {
		i.forget(now)
		h = &hostIllness{}
		i.hosts[host] = h
	}
	h.avoided = now.Add(min(longestAvoided, firstAvoided<<min(h.inRow, 8)))
	h.inRow++
	h.until = now.Add(ejection(h.inRow, v))
}

// forget drops hosts that no longer ask.
func (i *illness) forget(now time.Time) {
	if i.hosts == nil {
		i.hosts = make(map[ids.HostID]*hostIllness)
	}
	for host, h := range i.hosts {
		if now.Sub(h.avoided) > forgetHost {
			delete(i.hosts, host)
		}
	}
}

// poor tells whether the server fails so often that callers are better off elsewhere.
func (s *server) poor(now time.Time) bool { return s.unproven || s.illness.rate(now) >= poorShare }

// fitness is how well a server suits a host.
type fitness int

const (
	fitsWell fitness = iota
	// fitsLast: all others go first, those that batch items must leave too.
	fitsLast
	// fitsNot: it is left alone.
	fitsNot
)

// fits tells how well the server suits a host, whatever it does for others.
func (i *illness) fits(now time.Time, host ids.HostID) fitness {
	h, ok := i.hosts[host]
	switch {
	case !ok:
		return fitsWell
	case now.Before(h.until):
		return fitsNot
	case now.Before(h.avoided):
		return fitsLast
	}
	return fitsWell
}
