package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/cold"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
	"verbenaledge.example/verbena/memory"
)

const (
	// fullPause is how long a server that refused for lack of a slot gets no requests; the fastest requests end in that time.
	fullPause = 60 * time.Millisecond
	// minEjection and maxEjection bound how long a server is ejected after consecutive failures.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxDoublings bounds the shifts that compute doubled durations, so that they don't overflow; maxEjection and
	// maxAvoidance are reached earlier.
	maxDoublings = 8
	// serverAverageWeight is the weight of one answer in a server's moving averages.
	serverAverageWeight = 0.25
	// slowFactor is how many times slower than the fastest a server must be to be used last.
	slowFactor = 1.8
	// independentOvercommit is how many times their share of the slots independent schedulers use: load is uneven, and
	// servers queue requests that exceed their slots.
	independentOvercommit = 2
)

// server is the state of a backend server.
type server struct {
	directory.Server
	// The fields that each search of a server reads are next to each other: with thousands of servers the reads of memory cost most.

	// usedSlots counts the granted slots, yieldingSlots those of them that batch items were asked to yield.
	usedSlots     int
	yieldingSlots int
	// consecutiveFailures counts the sends that failed since the last success, over all hosts. They count for failureExpiry.
	consecutiveFailures int
	// slotShare is this scheduler's share of the slots.
	slotShare float64
	// delisted is set once the server has left the list of servers.
	delisted     bool
	ejectedUntil time.Time
	// stalledUntil is in the future while the server sends nothing, probationUntil from a stall until it answers again.
	stalledUntil   time.Time
	probationUntil time.Time
	pausedUntil    time.Time
	// trial is the run on trial for which the server is reserved, or nil.
	trial *run
	// reservedFor is the request that the server's room is reserved for, or nil.
	reservedFor *waiter
	// pace is nil until hosts have read one.
	pace *machinePace
	// speed is the server's time per event as a multiple of that of the fastest servers.
	speed     float64
	coldUntil time.Time
	cold      cold.Budget
	failures  failures
	received  received
	held      memory.Held
	limit     limit.Regulator

	prompts serverPrompts
	aliveAt time.Time
	// lastGrant is when a slot was last granted.
	lastGrant time.Time
	// lastFailure is when a send last failed or broke off.
	lastFailure time.Time
	// versionUncertainUntil is the time until which the server may run as another version than its entry says;
	// versionUncertainSince is when that was last suspected.
	versionUncertainUntil, versionUncertainSince time.Time
	// eventSeconds is the moving average of the time per stream event; 0 before the first answer.
	eventSeconds float64
	// eventSecondsAt is when it last changed, speedSamples how many answers it is made of.
	eventSecondsAt time.Time
	speedSamples   int
	// firstByteSeconds is the moving average of the time to the first byte.
	firstByteSeconds float64
	// tieBreak orders servers that are equal otherwise.
	tieBreak uint64
	disabled disabledMechanisms
}

// reset clears what was observed of the server before it restarted. Granted slots are freed when their sends end.
func (s *server) reset(now time.Time, cold time.Duration) {
	s.consecutiveFailures, s.ejectedUntil, s.pausedUntil = 0, time.Time{}, time.Time{}
	s.markAlive(now)
	s.failures = failures{}
	s.versionUncertainUntil, s.lastFailure = time.Time{}, time.Time{}
	s.speed = 1
	s.eventSeconds, s.speedSamples, s.firstByteSeconds = 0, 0, 0
	s.coldUntil = now.Add(cold)
	s.limit.Restart(now)
	s.pace = nil
}

func (s *server) before(o *server) bool {
	if s.tieBreak != o.tieBreak {
		return s.tieBreak < o.tieBreak
	}
	return s.ID < o.ID
}

// present reports whether the server takes new requests by its entry and the operator's requests.
func (s *server) present() bool { return !s.delisted && !s.Draining && !s.Evacuated }

func (s *server) usable(now time.Time) bool {
	return s.present() && !s.ejectedOrStalled(now)
}

// ejectedOrStalled reports whether the server gets no new requests for a while.
func (s *server) ejectedOrStalled(now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.stalledUntil)
}

// freeSlots returns the number of slots that callers' requests may take now; it may be negative.
func (s *server) freeSlots(now time.Time) int {
	if !s.limit.MayExceed(now) || !s.cold.Ready(now) {
		return 0
	}
	return s.unlimitedSlots(now)
}

// freeSlotsFor returns the number of slots that requests of a class may take now. exceeds is set if one that takes a slot exceeds
// the server's limit on average, as callers' requests may for a while.
func (s *server) freeSlotsFor(now time.Time, class Class) (free int, exceeds bool) {
	free = max(0, s.freeSlots(now))
	exceeds = free > 0 && !s.limit.Ready(now)
	if class == Batch && (exceeds || !s.cold.ReadyForBatch(now)) {
		free = 0 // an item has time
	}
	return free, exceeds
}

// unlimitedSlots is freeSlots without the server's limit.
func (s *server) unlimitedSlots(now time.Time) int {
	if now.Before(s.pausedUntil) || s.trial != nil {
		return 0
	}
	slots := s.capacity()
	if s.failedRecently(now) || s.onProbation(now) {
		slots = 1 // a server that failed or stalled gets one request until it serves one
	}
	return slots - s.usedSlots + s.yieldingSlots
}

// capacity is the number of slots that this scheduler may use.
func (s *server) capacity() int {
	if s.slotShare >= 1 {
		return s.Slots
	}
	return min(s.Slots, max(1, int(math.Ceil(independentOvercommit*float64(s.Slots)*s.slotShare))))
}

// recordOutcome records an outcome that speaks of the server.
func (s *server) recordOutcome(now time.Time, host ids.HostID, o Outcome) {
	switch o.Result {
	case Served:
		s.markAlive(now)
		s.consecutiveFailures = 0
		s.ejectedUntil = time.Time{}
		s.failures.recordSuccess(now, host)
		if o.TimeToFirstByte > 0 {
			s.firstByteSeconds = serverAverage(s.firstByteSeconds, o.TimeToFirstByte.Seconds())
		}
	case Full:
		s.pausedUntil = now.Add(fullPause)
	case Unreachable, Broken, Failed, Gone:
		if !s.failedRecently(now) {
			s.consecutiveFailures = 0
		}
		s.lastFailure = now
		if !s.disabled[Ejection] {
			s.consecutiveFailures++
			s.ejectedUntil = now.Add(ejectionTime(s.consecutiveFailures, o.Result))
		}
		if !s.disabled[FailureRate] {
			s.failures.recordFailure(now, host, o.Result)
		}
	case Silent:
		s.lastFailure = now // it may have ended
	case Cancelled, NoPath, Rejected:
	}
}

// failedRecently reports whether the server has failed since its last success, so recently that it counts.
func (s *server) failedRecently(now time.Time) bool {
	return s.consecutiveFailures > 0 && now.Sub(s.lastFailure) < failureExpiry
}

// ejectionTime doubles with each consecutive failure. One lost or failed answer is common on a server that answers others
// well, so the first failure of a reachable server doesn't eject it.
func ejectionTime(failures int, result Result) time.Duration {
	if result != Unreachable && result != Gone {
		failures--
	}
	if failures <= 0 {
		return 0
	}
	return min(maxEjection, minEjection<<min(failures-1, maxDoublings))
}

func serverAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + serverAverageWeight*(sample-old)
}
