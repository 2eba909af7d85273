package soak

import (
	"fmt"
	"time"
)

// drainingGrace is the time that a server may still receive new requests after it was set to draining, once all faults
// have ended.
const drainingGrace = 3 * time.Second

// checkAfterRecovery checks that after recovery a draining server receives no new requests, and that no request keeps
// running for a caller that has disconnected or a job that has ended.
func checkAfterRecovery(ev *Evidence) (violations []Violation) {
	for _, r := range ev.ServerRuns {
		if r.Server == ev.DrainedServer && !ev.DrainedAt.IsZero() && r.At.After(ev.DrainedAt.Add(drainingGrace)) {
			violations = append(violations, Violation{"leaving", r.ID, ev.DrainedServer + " received it while it was draining", r.At})
		}
	}
	if ev.StillRunning > 0 {
		violations = append(violations, Violation{"left running", "servers", fmt.Sprintf("%d requests run without a caller or job", ev.StillRunning), ev.RecoveredAt})
	}
	return violations
}
