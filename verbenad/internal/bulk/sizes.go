package bulk

import "sync"

// sizeWeight is the weight of one item in the average of their sizes.
const sizeWeight = 0.05

// sizes learns how many events items have for the tokens that they state, which bound their output.
type sizes struct {
	mu sync.Mutex
	// perToken is 0 before the first item is done.
	perToken float64
}

// learn takes an item that is done.
func (s *sizes) learn(tokens int64, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := float64(events) / float64(tokens)
	if s.perToken == 0 {
		s.perToken = sample
	}
	s.perToken += sizeWeight * (sample - s.perToken)
}

// left is how many events an item is expected to have beyond those that are there, or 0 if that isn't known.
func (s *sizes) left(tokens int64, events int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perToken == 0 || tokens <= 0 {
		return 0
	}
	return max(1, int(s.perToken*float64(tokens))-events)
}
