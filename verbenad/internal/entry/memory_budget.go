package entry

import "sync/atomic"

// memoryBudget limits the bytes that all requests hold together.
type memoryBudget struct {
	available atomic.Int64
}

func newMemoryBudget(bytes int64) *memoryBudget {
	b := &memoryBudget{}
	b.available.Store(bytes)
	return b
}

// reserve takes n bytes from the budget. It returns false, and takes nothing, if fewer are available.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *memoryBudget) release(n int64) {
	b.available.Add(n)
}
