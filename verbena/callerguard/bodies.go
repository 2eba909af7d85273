package callerguard

import (
	"math"
	"time"
)

// youngBody is how long a body is read before its speed counts. An ordinary one arrives at once.
const youngBody = 500 * time.Millisecond

// Bodies is the set of the bodies that are being read. It handles crowds of clients that send parts of bodies and keep the memory
// of them: while memory is short, the slowest bodies are ended. It isn't safe for concurrent use.
type Bodies struct{ set map[*Body]bool }

// Body is a body that is being read.
type Body struct {
	// end makes reading the body fail. It is called at most once, and must not block.
	end       func()
	begin     time.Time
	bytes     int
	displaced bool
}

// NewBodies returns an empty set.
func NewBodies() *Bodies { return &Bodies{set: make(map[*Body]bool)} }

// Add adds a body that begins to be read.
func (b *Bodies) Add(end func(), now time.Time) *Body {
	body := &Body{end: end, begin: now}
	b.set[body] = true
	return body
}

// Arrived counts bytes of a body.
func (b *Body) Arrived(bytes int) { b.bytes += bytes }

// Remove removes a body that is no longer read, and reports whether it was displaced.
func (b *Bodies) Remove(body *Body) (displaced bool) {
	delete(b.set, body)
	return body.displaced
}

// DisplaceSlowest ends the slowest body. If favored isn't nil, that makes room for its memory: bodies that hold none stay, and ok is
// false if it is the slowest itself. No further one is ended while one that was is still held.
func (b *Bodies) DisplaceSlowest(favored *Body, now time.Time) (ok bool) {
	slowest := favored
	for body := range b.set {
		rate := body.rate(now)
		switch {
		case body.displaced && body != favored:
			return true
		case math.IsInf(rate, 1), favored != nil && body.bytes == 0:
		case slowest == nil || rate < slowest.rate(now):
			slowest = body
		}
	}
	if slowest == favored {
		return false
	}
	slowest.displaced = true
	slowest.end()
	return true
}

// rate returns the bytes per second at which a body arrives. That of a young one isn't known, and counts as fast.
func (b *Body) rate(now time.Time) float64 {
	age := now.Sub(b.begin)
	if age < youngBody {
		return math.Inf(1)
	}
	return float64(b.bytes) / age.Seconds()
}
