package items

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/peer"
	"verbenaledge.example/verbenad/internal/metric"
)

const (
	minPollDelay = 20 * time.Millisecond
	maxPollDelay = 400 * time.Millisecond
)

// managedServer is a backend server whose slots this host manages, with its running items.
type managedServer struct {
	runtime *Runtime
	server  backend.Server
	wake    chan struct{}
	stop    context.CancelFunc

	mu      sync.Mutex
	slots   int
	running map[batch.ItemRef]*runningItem
}

var requestSeq atomic.Uint64

func requestID(ref batch.ItemRef) ids.RequestID {
	return ids.RequestID(fmt.Sprintf("item-%s-%d-%d", ref.Job, ref.Index, requestSeq.Add(1)))
}

// setSlots sets the number of slots. Unless finish is set, running items beyond that
// number are cancelled at once, the newest first.
func (s *managedServer) setSlots(slots int, finish bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = slots
	for n := s.activeCount() - slots; n > 0 && !finish; n-- {
		s.yieldNewest()
	}
	s.signal()
}

func (s *managedServer) activeCount() (n int) {
	for _, r := range s.running {
		if !r.yielded {
			n++
		}
	}
	return n
}

func (s *managedServer) yieldNewest() {
	var newest *runningItem
	for _, r := range s.running {
		if !r.yielded && (newest == nil || r.startedAt.After(newest.startedAt)) {
			newest = r
		}
	}
	if newest == nil {
		return
	}
	newest.yielded = true
	newest.cancel()
	metric.ItemsYielded.Inc()
}

func (s *managedServer) cancelJob(j ids.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.running {
		if k.Job == j {
			r.yielded = true
			r.cancel()
		}
	}
}

func (s *managedServer) freeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots - len(s.running)
}

func (s *managedServer) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pullItems requests items while slots are free, until this host stops managing the server.
func (s *managedServer) pullItems(ctx context.Context) {
	delay := minPollDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(delay):
		}
		switch {
		case s.freeSlots() <= 0:
			delay = maxPollDelay
		case s.fillSlots(ctx) > 0:
			delay = minPollDelay
		default:
			delay = min(2*delay, maxPollDelay)
		}
	}
}

// fillSlots requests items from one job owner after the other until no slot is free.
func (s *managedServer) fillSlots(ctx context.Context) (started int) {
	owners := s.runtime.owners.Hosts()
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	for _, h := range owners {
		free := s.freeSlots()
		if free <= 0 {
			return started
		}
		items, err := s.runtime.owners.RequestItems(ctx, h, s.server.Service, free)
		if err != nil {
			continue
		}
		for _, it := range items {
			s.startItem(ctx, it)
		}
		started += len(items)
	}
	return started
}

func (s *managedServer) startItem(ctx context.Context, item peer.Item) {
	// When this host stops managing the server, pullItems' context ends at once, but
	// items run on until SetSlots cancels them after finishTimeout.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &runningItem{startedAt: time.Now(), cancel: cancel}
	s.mu.Lock()
	s.running[item.Ref] = r
	s.mu.Unlock()
	s.runtime.activeItems.Add(1)
	s.runtime.pool.Submit(func() {
		defer s.runtime.activeItems.Done()
		defer cancel()
		outcome := s.runtime.runItem(ctx, s.server, item)
		s.mu.Lock()
		delete(s.running, item.Ref)
		outcome.Yielded = outcome.Yielded || (r.yielded && outcome.Status == 0)
		s.mu.Unlock()
		s.runtime.reporter.add(outcome)
		s.signal()
	})
}
