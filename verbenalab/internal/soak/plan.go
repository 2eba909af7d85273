// Package soak runs the real programs under faults and checks from outside what is promised: only what
// callers, backend servers and the store see counts.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

const (
	// quietStart is how long a run is left alone before its first trouble.
	quietStart = 500 * time.Millisecond
	// shortestTrouble and longestTrouble bound one trouble: from less than a lease to well past one.
	shortestTrouble = 200 * time.Millisecond
	longestTrouble  = 6 * time.Second
	// troubleEvery is the mean time between the beginnings of troubles, so that some overlap.
	troubleEvery = 700 * time.Millisecond
	// laterEvery is the same for later troubles.
	laterEvery = 2 * time.Second
	// drainEvery is the same for servers that say in their answers that they leave.
	drainEvery = 4 * time.Second
)

// Event is one trouble of a plan.
type Event struct {
	At     time.Duration
	For    time.Duration
	Kind   FaultKind
	Target int
}

// Plan is the troubles of a run in the order of their beginnings.
type Plan []Event

// NewPlan draws a plan; the same seed and length give the same plan.
func NewPlan(seed uint64, length time.Duration) (p Plan) {
	p = draw(rand.New(rand.NewPCG(seed, seed)), troubles, length, troubleEvery)
	p = append(p, draw(rand.New(rand.NewPCG(seed, ^seed)), laterTroubles, length, laterEvery)...)
	p = append(p, draw(rand.New(rand.NewPCG(^seed, seed)), drainTroubles, length, drainEvery)...)
	sort.Slice(p, func(i, j int) bool { return p[i].At < p[j].At })
	return p
}

func draw(r *rand.Rand, from map[FaultKind]trouble, length, every time.Duration) (p Plan) {
	kinds := kindsOf(from)
	for at := quietStart; at < length; at += time.Duration(r.ExpFloat64() * float64(every)) {
		k := kinds[r.IntN(len(kinds))]
		p = append(p, Event{
			At: at.Round(time.Millisecond), Kind: k, Target: r.IntN(from[k].targets),
			For: (shortestTrouble + time.Duration(r.Int64N(int64(longestTrouble-shortestTrouble)))).Round(time.Millisecond),
		})
	}
	return p
}

// String is the plan, a line an event.
func (p Plan) String() string {
	var b strings.Builder
	for _, e := range p {
		fmt.Fprintf(&b, "%8s for %6s  %s %d\n", e.At, e.For, e.Kind, e.Target)
	}
	return b.String()
}
