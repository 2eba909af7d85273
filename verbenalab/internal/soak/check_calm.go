package soak

import (
	"fmt"
	"time"
)

// leaveTime is how long after its notice a leaving server may still get new work, in the calm.
const leaveTime = 3 * time.Second

// checkCalm: once all is calm a leaving server gets nothing new, and nothing runs on for callers that
// have gone or jobs that have ended.
func checkCalm(e *Evidence) (broken []Violation) {
	for _, r := range e.Runs {
		if r.Server == e.Left && !e.LeftAt.IsZero() && r.At.After(e.LeftAt.Add(leaveTime)) {
			broken = append(broken, Violation{"leaving", r.ID, e.Left + " got it after it had told that it leaves", r.At})
		}
	}
	if e.StillRunning > 0 {
		broken = append(broken, Violation{"left running", "servers", fmt.Sprintf("%d requests run on for nobody", e.StillRunning), e.CalmFrom})
	}
	return broken
}
