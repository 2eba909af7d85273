package bulk

import "sync"

// sampleWeight is the weight of one item in the moving average.
const sampleWeight = 0.05

// eventEstimator estimates how many events an item's answer has from the item's tokens, which bound its output.
type eventEstimator struct {
	mu sync.Mutex
	// perToken is the average number of events per token, 0 before the first item is done.
	perToken float64
}

// observe adds a completed item to the average.
func (e *eventEstimator) observe(tokens int64, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := float64(events) / float64(tokens)
	if e.perToken == 0 {
		e.perToken = sample
	}
	e.perToken += sampleWeight * (sample - e.perToken)
}

// remaining returns how many more events an item is expected to have, or 0 if that isn't known.
func (e *eventEstimator) remaining(tokens int64, events int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.perToken == 0 || tokens <= 0 {
		return 0
	}
	return max(1, int(e.perToken*float64(tokens))-events)
}
