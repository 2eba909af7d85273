package backend

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/core"
)

// TestCrashReportOutlastsMove: a report that meets a shard on its way to another host is given again, so
// that a stream which one crash cut can be resumed.
func TestCrashReportOutlastsMove(t *testing.T) {
	c := qt.New(t)
	asked := 0
	judged, err := settled(t.Context(), func(context.Context) (core.CrashVerdict, error) {
		asked++
		return core.CrashVerdict{Confirmed: asked > 3}, nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(judged.Confirmed, qt.IsTrue)
	c.Assert(asked, qt.Equals, 4)
}

// TestCrashReportEnds: without an owner the report is given up in time.
func TestCrashReportEnds(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	judged, err := settled(t.Context(), func(context.Context) (core.CrashVerdict, error) { return core.CrashVerdict{}, nil })
	c.Assert(err, qt.IsNil)
	c.Assert(judged.Confirmed, qt.IsFalse)
	c.Assert(time.Since(start) < 3*reportFor, qt.IsTrue)
}
