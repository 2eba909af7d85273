package dispatch

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the Scheduler's decisions that can be disabled to measure its effect.
type Mechanism string

// The mechanisms.
const (
	// None disables nothing. It is the reference of a measurement, and lets that run take the same arguments as the others.
	None Mechanism = "none"
	// BatchPlan defers batch items that can't be in time.
	BatchPlan Mechanism = "batch_plan"
	// BatchYields makes batch items yield their slots to callers.
	BatchYields Mechanism = "batch_yields"
	// BatchReserve keeps batch items from using the last free slots.
	BatchReserve Mechanism = "batch_reserve"
	// EarlyRefusal refuses a caller's first attempt at once if it is unlikely to start in time.
	EarlyRefusal Mechanism = "early_refusal"
	// CountReturning makes the retry time of a refusal allow for all waiting requests and for the refused callers that
	// have yet to retry.
	CountReturning Mechanism = "places_away"
	// LateRefusal refuses late requests with too many ahead of them before their callers' time ends.
	LateRefusal Mechanism = "late_refusal"
	// LateLast serves requests that can still start in time before late ones.
	LateLast Mechanism = "late_last"
	// Stalls keeps new requests from servers that send nothing.
	Stalls Mechanism = "stalls"
	// Ejection ejects servers for a while after consecutive failures.
	Ejection Mechanism = "ejection"
	// FailureRate ranks servers by the share of their sends that fail, and by the failures that each host sees.
	FailureRate Mechanism = "illness"
	// SlowLast uses servers that are much slower than the fastest last.
	SlowLast Mechanism = "slow_last"
	// ZoneFirst prefers servers in the host's availability zone when all else is equal.
	ZoneFirst Mechanism = "zone_first"
	// CrashSuspects refuses requests that may have crashed several servers.
	CrashSuspects Mechanism = "crash_suspects"
	// CrashingParts runs requests apart, and then refuses them, whose prompts may have crashed servers.
	CrashingParts Mechanism = "crashing_parts"
	// ReservedRates leaves disconnected hosts their part of the rates.
	ReservedRates Mechanism = "absence"
	// NamedLimits keeps to the limits that servers name.
	NamedLimits Mechanism = "named_limits"
	// ColdBudget keeps to the rates that cold servers tolerate.
	ColdBudget Mechanism = "cold_budget"
	// MachinePace ranks servers by how long work takes on their machines at the moment.
	MachinePace Mechanism = "pace"
	// MemoryRoom places requests only where they fit in the memory of a server.
	MemoryRoom Mechanism = "memory_room"
	// FairRoom shares scarce slots among workspaces by their rates.
	FairRoom Mechanism = "fair_room"
	// PromptReuse weighs the reading of prompts that servers still hold in part.
	PromptReuse Mechanism = "prompt_reuse"
)

// Mechanisms lists all mechanisms.
var Mechanisms = []Mechanism{
	None, BatchPlan, BatchYields, BatchReserve, EarlyRefusal, CountReturning, LateRefusal, LateLast, Stalls, Ejection, FailureRate, SlowLast, ZoneFirst,
	CrashSuspects, CrashingParts, ReservedRates, NamedLimits, ColdBudget, MachinePace, MemoryRoom, FairRoom, PromptReuse,
}

// ParseMechanisms parses a comma-separated list.
func ParseMechanisms(list string) (all []Mechanism, err error) {
	for name := range strings.SplitSeq(list, ",") {
		if !slices.Contains(Mechanisms, Mechanism(name)) {
			return nil, fmt.Errorf("mechanism %q is unknown; there are %s", name, joinNames(Mechanisms))
		}
		all = append(all, Mechanism(name))
	}
	return all, nil
}

func joinNames(all []Mechanism) string {
	names := make([]string, len(all))
	for i, m := range all {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithDisabledMechanisms disables mechanisms, for measurements.
func WithDisabledMechanisms(mechanisms ...Mechanism) Option {
	return func(sc *Scheduler) {
		for _, mechanism := range mechanisms {
			sc.disabled[mechanism] = true
		}
	}
}

type disabledMechanisms map[Mechanism]bool
