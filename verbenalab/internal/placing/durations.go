package placing

import (
	"slices"
	"time"
)

// Durations is a sample of durations.
type Durations []time.Duration

// Quantile returns the duration that the given share of the sample does not exceed, 0 if the sample is empty.
func (d Durations) Quantile(share float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
