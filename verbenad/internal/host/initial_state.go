package host

import (
	"context"
	"sync"
)

// initialState waits until the configuration and the list of servers have been received once.
type initialState struct {
	once     [2]sync.Once
	mu       sync.Mutex
	received [2]chan struct{}
}

func (s *initialState) receivedChan(n int) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received[n] == nil {
		s.received[n] = make(chan struct{})
	}
	return s.received[n]
}

func (s *initialState) catalogReceived() { s.once[0].Do(func() { close(s.receivedChan(0)) }) }
func (s *initialState) serversReceived() { s.once[1].Do(func() { close(s.receivedChan(1)) }) }

// wait waits for both. It returns false if the context ends first.
func (s *initialState) wait(ctx context.Context) bool {
	for n := range s.received {
		select {
		case <-s.receivedChan(n):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
