package entry

import "sync/atomic"

// budget bounds the bytes that requests hold together.
type budget struct {
	left atomic.Int64
}

func newBudget(bytes int64) *budget {
	b := &budget{}
	b.left.Store(bytes)
	return b
}

func (b *budget) take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *budget) put(n int64) {
	b.left.Add(n)
}
