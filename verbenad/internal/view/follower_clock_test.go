package view

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/clock/clocktest"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
)

// suspendedClock is a clock of elapsed time that counts suspensions, which the steady clock of the process doesn't.
type suspendedClock struct{ suspended time.Duration }

func (s *suspendedClock) Now() time.Time { return time.Now().Add(s.suspended) }

// TestAgeCountsSuspendedTime guards against objects that a host takes for recent after it was suspended, and passes on as recent.
func TestAgeCountsSuspendedTime(t *testing.T) {
	f := NewFollower("k", memory.New(), clock.System{}, NewGate(clock.System{}), func(map[string]objects.Object, objects.Revision) {})
	qt.Check(t, f.elapsed, qt.Equals, clock.Clock(clock.Boot{}))
	k := &suspendedClock{}
	f.elapsed = k
	f.recordAnswer()
	k.suspended = time.Minute
	qt.Check(t, f.Age() >= time.Minute, qt.IsTrue)
}

// TestAgeAfterClockStep guards against objects that other hosts take for old, or for unconfirmed, because the time of day was set.
func TestAgeAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		var k clocktest.SteppingClock
		f := NewFollower("k", memory.New(), &k, NewGate(&k), func(map[string]objects.Object, objects.Revision) {})
		qt.Check(t, f.Age(), qt.Equals, time.Duration(-1))
		f.recordAnswer()
		k.Step(step)
		age := f.Age()
		qt.Check(t, age >= 0 && age < time.Minute, qt.IsTrue, qt.Commentf("step %s: %s", step, age))
	}
}
