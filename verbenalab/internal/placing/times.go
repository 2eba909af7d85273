package placing

import (
	"slices"
	"time"
)

// Times are durations of which quantiles are asked.
type Times []time.Duration

// At is the time that a share of all don't exceed, 0 if there are none.
func (t Times) At(share float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	sorted := slices.Clone(t)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
