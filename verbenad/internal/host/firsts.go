package host

import (
	"context"
	"sync"
)

// firsts waits until the configuration and the servers have been seen once.
type firsts struct {
	once   [2]sync.Once
	mu     sync.Mutex
	signal [2]chan struct{}
}

func (f *firsts) channel(n int) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.signal[n] == nil {
		f.signal[n] = make(chan struct{})
	}
	return f.signal[n]
}

func (f *firsts) catalog() { f.once[0].Do(func() { close(f.channel(0)) }) }
func (f *firsts) servers() { f.once[1].Do(func() { close(f.channel(1)) }) }

// wait is false if the context ended before.
func (f *firsts) wait(ctx context.Context) bool {
	for n := range f.signal {
		select {
		case <-f.channel(n):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
