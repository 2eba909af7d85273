package backend

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/core"
)

// TestCrashReportRetriedWhileShardMoves checks that a report made while the shard moves to another host is
// repeated, so that a stream cut by a single crash can be resumed.
func TestCrashReportRetriedWhileShardMoves(t *testing.T) {
	c := qt.New(t)
	reports := 0
	verdict, err := reportUntilConfirmed(t.Context(), func(context.Context) (core.CrashVerdict, error) {
		reports++
		return core.CrashVerdict{Confirmed: reports > 3}, nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Confirmed, qt.IsTrue)
	c.Assert(reports, qt.Equals, 4)
}

// TestCrashReportTimesOut checks that reporting stops after reportTimeout if the shard has no owner.
func TestCrashReportTimesOut(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	verdict, err := reportUntilConfirmed(t.Context(), func(context.Context) (core.CrashVerdict, error) { return core.CrashVerdict{}, nil })
	c.Assert(err, qt.IsNil)
	c.Assert(verdict.Confirmed, qt.IsFalse)
	c.Assert(time.Since(start) < 3*reportTimeout, qt.IsTrue)
}
