package dispatch

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the decisions that can be switched off to measure what it is worth.
type Mechanism string

// The mechanisms.
const (
	// None switches nothing off: it is the reference of a measurement, with a command line like the others'.
	None Mechanism = "none"
	// BatchPlan puts off batch items that can't be in time.
	BatchPlan Mechanism = "batch_plan"
	// BatchYields makes batch items leave their slots to callers.
	BatchYields Mechanism = "batch_yields"
	// BatchReserve keeps some free slots from batch.
	BatchReserve Mechanism = "batch_reserve"
	// EarlyRefusal refuses a caller's first attempt that is unlikely to start in time.
	EarlyRefusal Mechanism = "early_refusal"
	// PlacesAway counts all that wait and those that were sent away in the time to come back.
	CountReturning Mechanism = "places_away"
	// LateRefusal refuses what is late and has too many ahead of it before its caller's time is over.
	LateRefusal Mechanism = "late_refusal"
	// LateLast serves what can still start in time before what is late.
	LateLast Mechanism = "late_last"
	// Stalls keeps new requests from servers of which nothing is seen.
	Stalls Mechanism = "stalls"
	// Ejection leaves servers alone for a while after failures in a row.
	Ejection Mechanism = "ejection"
	// Illness weighs the share of sends that a server fails, and what each host sees of it.
	FailureRate Mechanism = "illness"
	// SlowLast uses servers last that are much slower than the fastest.
	SlowLast Mechanism = "slow_last"
	// ZoneFirst prefers servers in the host's availability zone when all else is equal.
	ZoneFirst Mechanism = "zone_first"
	// CrashSuspects refuses requests that broke several servers.
	CrashSuspects Mechanism = "crash_suspects"
	// Absence leaves hosts out of touch their part of the rates.
	ReservedRates Mechanism = "absence"
)

// Mechanisms are all that can be switched off.
var Mechanisms = []Mechanism{
	None, BatchPlan, BatchYields, BatchReserve, EarlyRefusal, CountReturning, LateRefusal, LateLast, Stalls, Ejection, FailureRate, SlowLast, ZoneFirst,
	CrashSuspects, ReservedRates,
}

// ParseMechanisms reads a list separated by commas.
func ParseMechanisms(list string) (all []Mechanism, err error) {
	for name := range strings.SplitSeq(list, ",") {
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, fmt.Errorf("mechanism %q is unknown; there are %s", name, join(Mechanisms))
		}
		all = append(all, Mechanism(name))
	}
	return all, nil
}

func join(all []Mechanism) string {
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}

// Option changes a machine.
type Option func(*Scheduler)

// Without switches mechanisms off, for measurements.
func Without(list ...Mechanism) Option {
	return func(m *Scheduler) {
		for _, one := range list {
			m.off[one] = true
		}
	}
}

// switches are the mechanisms that are off.
type switches map[Mechanism]bool
