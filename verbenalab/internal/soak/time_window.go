package soak

import (
	"math/rand/v2"
	"time"
)

// TimeWindow is a period after a SIGTERM.
type TimeWindow struct{ From, To time.Duration }

// pick returns a moment in the window.
func (w TimeWindow) pick(random *rand.Rand) time.Duration {
	return w.From + time.Duration(random.Int64N(int64(w.To-w.From)+1))
}
