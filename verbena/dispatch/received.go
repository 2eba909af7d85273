package dispatch

import (
	"math"
	"time"
)

const (
	// receivedMemory is the time constant of the count of requests that a server received.
	receivedMemory = 5 * time.Second
	// receivedNoise is how many standard deviations of a random number of requests count nothing.
	receivedNoise = 2
	// receivedCost is the cost of a server that received twice the mean, beyond the noise: as much as ten running requests.
	receivedCost = 0.2
)

// received counts the requests that a server received, with a weight that decays. Advantages that are too small to matter each add up
// on one server otherwise: a little speed, a calm machine, the first place among equals.
type received struct {
	count float64
	at    time.Time
}

func (r *received) add(now time.Time) { r.count, r.at = r.recent(now)+1, now }

// recent returns the count as of now.
func (r *received) recent(now time.Time) float64 {
	if r.count == 0 {
		return 0
	}
	return r.count * math.Exp(-float64(max(0, now.Sub(r.at)))/float64(receivedMemory))
}

// receivedCost returns the cost of what a server received beyond the mean of those that aren't much slower than others.
func (p *pool) receivedCost(now time.Time, s *server) float64 {
	mean := p.meanReceived
	if s.received.count <= mean {
		return 0 // it has only decayed since
	}
	beyondMean := s.received.recent(now) - mean - receivedNoise*math.Sqrt(mean)
	if mean < 1 || beyondMean <= 0 {
		return 0
	}
	return receivedCost * beyondMean / mean
}
