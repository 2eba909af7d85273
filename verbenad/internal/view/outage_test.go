package view

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/objects/memory"
)

const (
	// configTime is how long after its acknowledgement a host may go by an older configuration, on the users' platform.
	configTime = 2 * time.Second
	// longestCall is the longest timeout of a call without a wait of its own, watchMargin what a watch's adds to its wait.
	longestCall = 2500 * time.Millisecond
	watchMargin = time.Second
)

// silentStore is a store that falls silent: what was sent before its silence ends is never answered.
type silentStore struct {
	*memory.Store

	mu     sync.Mutex
	silent bool
	// silences counts how often the store has fallen silent.
	silences int
}

func (s *silentStore) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent = on; on {
		s.silences++
	}
}

// lost reports whether a call's answer is lost that was sent when silences had the given value.
func (s *silentStore) lost(silences int, sentSilent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sentSilent || s.silences != silences
}

// call makes a call that has an answer only if the store isn't silent meanwhile.
func (s *silentStore) call(ctx context.Context, timeout time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.mu.Lock()
	silences, sentSilent := s.silences, s.silent
	s.mu.Unlock()
	err := work(ctx)
	if s.lost(silences, sentSilent) {
		<-ctx.Done()
		return objects.ErrUnknown
	}
	return err
}

func (s *silentStore) List(ctx context.Context, k objects.Kind, stale bool) (l objects.Listing, err error) {
	err = s.call(ctx, longestCall, func(ctx context.Context) (err error) {
		l, err = s.Store.List(ctx, k, stale)
		return err
	})
	return l, err
}

func (s *silentStore) Watch(ctx context.Context, k objects.Kind, after objects.Revision, wait time.Duration) (c objects.Changes, err error) {
	err = s.call(ctx, wait+watchMargin, func(ctx context.Context) (err error) {
		c, err = s.Store.Watch(ctx, k, after, wait)
		return err
	})
	return c, err
}

// TestAllKindsReturnWithTheStore guards against a kind that is read seconds after the store is back, as its call still waits for an answer
// that is lost, or for a turn. The host may then go by a configuration that was replaced long before.
func TestAllKindsReturnWithTheStore(t *testing.T) {
	kinds := []objects.Kind{"configuration", "servers", "owners", "evacuations"}
	for trial := range 12 {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			t.Parallel()
			s := &silentStore{Store: memory.New()}
			gate := NewGate(clock.System{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			got := make(map[objects.Kind]*recorder)
			for _, k := range kinds {
				_, err := s.Create(t.Context(), k, "a", 1)
				qt.Assert(t, err, qt.IsNil)
				got[k] = &recorder{}
				go NewFollower(k, s, clock.System{}, gate, got[k].set).Run(ctx)
			}
			for _, k := range kinds {
				eventually(t, "all kinds are listed", func() bool { return got[k].has("a") })
			}
			time.Sleep(time.Duration(trial) * 170 * time.Millisecond) // watches are at another point in each trial
			s.setSilent(true)
			time.Sleep(4500*time.Millisecond + time.Duration(trial)*130*time.Millisecond)
			for _, k := range kinds {
				_, err := s.Create(t.Context(), k, "b", 1)
				qt.Assert(t, err, qt.IsNil)
			}
			s.setSilent(false)
			back := time.Now()
			for _, k := range kinds {
				eventually(t, "all kinds are read", func() bool { return got[k].has("b") })
				t.Logf("%s after %v", k, time.Since(back).Round(time.Millisecond))
			}
			qt.Check(t, time.Since(back) < configTime, qt.IsTrue, qt.Commentf("read after %v", time.Since(back)))
		})
	}
}
