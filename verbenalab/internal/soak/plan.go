// Package soak runs the real programs, injects faults and checks the guarantees of the system from outside: it judges
// only by what callers, backend servers and the store observe.
package soak

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

const (
	// firstFaultDelay is the time before the first fault of a run.
	firstFaultDelay = 500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound one fault: from less than the duration of a lease to well past it.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// baseFaultInterval is the mean time between the starts of baseFaults. It is short enough that some overlap.
	baseFaultInterval = 700 * time.Millisecond
	// laterFaultInterval is the same for laterFaults.
	laterFaultInterval = 2 * time.Second
	// drainFaultInterval is the same for drainFaults.
	drainFaultInterval = 4 * time.Second
)

// PlannedFault is one fault of a plan. At is its time after the start of the run.
type PlannedFault struct {
	At       time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   int
}

// Plan lists the faults of a run in the order in which they start.
type Plan []PlannedFault

// NewPlan draws a random plan. The same seed and duration give the same plan.
func NewPlan(seed uint64, duration time.Duration) (p Plan) {
	p = drawFaults(rand.New(rand.NewPCG(seed, seed)), baseFaults, duration, baseFaultInterval)
	p = append(p, drawFaults(rand.New(rand.NewPCG(seed, ^seed)), laterFaults, duration, laterFaultInterval)...)
	p = append(p, drawFaults(rand.New(rand.NewPCG(^seed, seed)), drainFaults, duration, drainFaultInterval)...)
	p = append(p, drawFaults(rand.New(rand.NewPCG(^seed, ^seed)), crashFaults, duration, crashFaultInterval)...)
	p = append(p, drawFaults(rand.New(rand.NewPCG(seed, seed+1)), resumeFaults, duration, resumeFaultInterval)...)
	p = append(p, drawFaults(rand.New(rand.NewPCG(seed, bits.Reverse64(seed))), versionFaults, duration, versionFaultInterval)...)
	p = append(p, drawFaults(rand.New(rand.NewPCG(^seed, seed+1)), limitFaults, duration, limitFaultInterval)...)
	p = append(p, drawFaults(rand.New(rand.NewPCG(bits.Reverse64(seed), seed)), zoneFaults, duration, zoneFaultInterval)...)
	cuts := drawFaults(rand.New(rand.NewPCG(seed+1, seed)), cutFaults, duration, cutFaultInterval)
	for n := range cuts {
		cuts[n].Duration += contactTime
	}
	p = append(p, cuts...)
	sort.Slice(p, func(i, j int) bool { return p[i].At < p[j].At })
	return p
}

func drawFaults(r *rand.Rand, faults map[FaultKind]fault, duration, meanInterval time.Duration) (p Plan) {
	kinds := sortedKinds(faults)
	for at := firstFaultDelay; at < duration; at += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		k := kinds[r.IntN(len(kinds))]
		p = append(p, PlannedFault{
			At: at.Round(time.Millisecond), Kind: k, Target: r.IntN(faults[k].targetCount),
			Duration: (minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))).Round(time.Millisecond),
		})
	}
	return p
}

// String returns the plan with one line per fault.
func (p Plan) String() string {
	var b strings.Builder
	for _, f := range p {
		fmt.Fprintf(&b, "%8s for %6s  %s %d\n", f.At, f.Duration, f.Kind, f.Target)
	}
	return b.String()
}
