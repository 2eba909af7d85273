package clocktest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSteppedChangesTimeOfDayOnly(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{time.Hour, 0, -time.Hour} {
		stepped := Stepped(now, by)
		qt.Check(t, stepped.Sub(now), qt.Equals, time.Duration(0))
		qt.Check(t, stepped.Round(0).Sub(now.Round(0)), qt.Equals, by)
	}
}
