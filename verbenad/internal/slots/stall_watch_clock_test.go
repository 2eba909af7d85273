package slots

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock/clocktest"
)

// TestStallWatchAfterClockStep guards against a server that is reported as stalled because the time of day was set ahead, or isn't
// reported because it was set back.
func TestStallWatchAfterClockStep(t *testing.T) {
	c := newClient(t, "f", freeAddress(t))
	watch := func(k *clocktest.SteppingClock) *StallWatch {
		w := &StallWatch{client: c, clock: k, timeout: minStallTimeout}
		w.start()
		t.Cleanup(w.Stop)
		return w
	}
	t.Run("ahead", func(t *testing.T) {
		var k clocktest.SteppingClock
		w := watch(&k)
		k.Step(time.Hour)
		w.check()
		qt.Assert(t, w.reported.Load(), qt.IsFalse)
	})
	t.Run("back", func(t *testing.T) {
		var k clocktest.SteppingClock
		w := watch(&k)
		k.Step(-time.Hour)
		time.Sleep(minStallTimeout)
		w.check()
		qt.Assert(t, w.reported.Load(), qt.IsTrue)
	})
}
