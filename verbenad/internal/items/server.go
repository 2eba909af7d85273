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
	firstPause = 20 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// server is a managed backend server: its slots and the items that run in them.
type server struct {
	runtime *Runtime
	server  backend.Server
	wake    chan struct{}
	stop    context.CancelFunc

	mu      sync.Mutex
	slots   int
	running map[batch.ItemRef]*run
}

var requestSeq atomic.Uint64

func requestID(ref batch.ItemRef) ids.RequestID {
	return ids.RequestID(fmt.Sprintf("item-%s-%d-%d", ref.Job, ref.Index, requestSeq.Add(1)))
}

// set changes the slots. Items above them make room at once, the newest first,
// unless they may come to their end.
func (s *server) set(slots int, finish bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = slots
	for surplus := s.working() - slots; surplus > 0 && !finish; surplus-- {
		s.yieldNewest()
	}
	s.signal()
}

func (s *server) working() (n int) {
	for _, r := range s.running {
		if !r.yielded {
			n++
		}
	}
	return n
}

func (s *server) yieldNewest() {
	var newest *run
	for _, r := range s.running {
		if !r.yielded && (newest == nil || r.started.After(newest.started)) {
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

func (s *server) stopJob(j ids.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref, r := range s.running {
		if ref.Job == j {
			r.yielded = true
			r.cancel()
		}
	}
}

func (s *server) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots - len(s.running)
}

func (s *server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pull takes items as slots come free, until the server is let go.
func (s *server) pull(ctx context.Context) {
	pause := firstPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(pause):
		}
		switch {
		case s.free() <= 0:
			pause = maxPause
		case s.fill(ctx) > 0:
			pause = firstPause
		default:
			pause = min(2*pause, maxPause)
		}
	}
}

// fill asks the owners in turn until the slots are full or all have been asked.
func (s *server) fill(ctx context.Context) (taken int) {
	owners := s.runtime.owners.Hosts()
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	for _, h := range owners {
		free := s.free()
		if free <= 0 {
			return taken
		}
		items, err := s.runtime.owners.RequestItems(ctx, h, s.server.Service, free)
		if err != nil {
			continue
		}
		for _, item := range items {
			s.start(ctx, item)
		}
		taken += len(items)
	}
	return taken
}

func (s *server) start(ctx context.Context, item peer.Item) {
	// An item outlives its manager's hold on the server only to be cancelled.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &run{started: time.Now(), cancel: cancel}
	s.mu.Lock()
	s.running[item.Ref] = r
	s.mu.Unlock()
	s.runtime.active.Add(1)
	s.runtime.pool.Submit(func() {
		defer s.runtime.active.Done()
		defer cancel()
		out := s.runtime.execute(ctx, s.server, item)
		s.mu.Lock()
		delete(s.running, item.Ref)
		out.Yielded = out.Yielded || (r.yielded && out.Status == 0)
		s.mu.Unlock()
		s.runtime.reports.add(out)
		s.signal()
	})
}
