package view

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock/clocktest"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
)

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
