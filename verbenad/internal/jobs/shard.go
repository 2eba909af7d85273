package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/batch"
	"verbenaledge.example/verbena/core"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
	"verbenaledge.example/verbena/timeline"
	"verbenaledge.example/verbenad/internal/metric"
)

const (
	retryPause = 300 * time.Millisecond
	// segmentBytes is when a segment is written before its time; results are
	// compressed, so that it stays well below the value limit.
	segmentBytes = 700 << 10
)

// errNewerOwner says that another host has taken the shard over.
var errNewerOwner = errors.New("the shard has a newer owner")

// shard runs one owned shard. Its goroutine alone writes to the platform.
type shard struct {
	runtime *Runtime
	id      ids.ShardID
	epoch   ids.Epoch
	stop    context.CancelFunc
	wake    chan struct{}

	head    batch.Head
	version ids.Version
	seq     uint64
	// markers are the versions at which open jobs were last read.
	markers map[ids.JobID]ids.Version
	// writing is the segment under way, nil when none is.
	writing []batch.Result

	mu      sync.Mutex
	results []batch.Result
	bytes   int
	since   time.Time
	closes  []batch.CloseJob
	nudges  []ids.JobID
}

func newShard(r *Runtime, id ids.ShardID, epoch ids.Epoch, stop context.CancelFunc) *shard {
	return &shard{
		runtime: r, id: id, epoch: epoch, stop: stop,
		wake: make(chan struct{}, 1), markers: map[ids.JobID]ids.Version{},
	}
}

func (s *shard) keep(r batch.Result) {
	s.mu.Lock()
	if len(s.results) == 0 {
		s.since = time.Now()
	}
	s.results = append(s.results, r)
	s.bytes += len(r.Line)
	full := s.bytes >= segmentBytes
	s.mu.Unlock()
	s.runtime.hold(len(r.Line))
	if full {
		s.signal()
	}
}

func (s *shard) closeJob(c batch.CloseJob) {
	s.mu.Lock()
	s.closes = append(s.closes, c)
	s.mu.Unlock()
	s.signal()
}

func (s *shard) readAgain(j ids.JobID) {
	s.mu.Lock()
	s.nudges = append(s.nudges, j)
	s.mu.Unlock()
	s.signal()
}

func (s *shard) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results) + len(s.closes)
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) run(ctx context.Context) {
	defer s.forget()
	if !s.insist(ctx, "take over", s.takeOver) {
		return
	}
	s.runtime.post.Post(core.ShardReady{Shard: s.id, Epoch: s.epoch})
	flush := time.NewTicker(s.runtime.config.FlushDelay / 2)
	defer flush.Stop()
	poll := time.NewTicker(s.runtime.config.PollInterval)
	defer poll.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-flush.C:
		case <-poll.C:
			err = s.readMarkers(ctx)
		}
		if !s.work(ctx, err) {
			return
		}
	}
}

// work does what waits; a fault of the platform is met by trying again later.
func (s *shard) work(ctx context.Context, err error) (goOn bool) {
	err = errors.Join(err, s.flush(ctx), s.readNudged(ctx), s.closeJobs(ctx))
	if errors.Is(err, errNewerOwner) {
		s.runtime.timeline.Record(timeline.Event{
			Kind: timeline.SegmentRefused, Detail: fmt.Sprintf("shard %d epoch %d", s.id, s.epoch),
		})
		metric.SegmentsRefused.Inc()
		s.runtime.post.Post(core.ShardSuperseded{Shard: s.id, Epoch: s.epoch})
		return false
	}
	if err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("shard", s.id).Debug("batch state waits for the platform")
		time.Sleep(retryPause)
		s.signal()
	}
	return true
}

// insist repeats a step until it succeeds or the shard has another owner.
func (s *shard) insist(ctx context.Context, what string, step func(context.Context) error) bool {
	for {
		err := step(ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, errNewerOwner) {
			s.runtime.post.Post(core.ShardSuperseded{Shard: s.id, Epoch: s.epoch})
			return false
		}
		log.WithError(err).WithField("shard", s.id).Debugf("can't %s yet", what)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryPause):
		}
	}
}

// forget gives back the room of results that will never be committed here.
func (s *shard) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := 0
	for _, r := range s.results {
		bytes += len(r.Line)
	}
	for _, r := range s.writing {
		bytes += len(r.Line)
	}
	s.runtime.hold(-bytes)
	s.results, s.writing = nil, nil
}

// readHead reads the head and refuses one of a newer owner.
func (s *shard) readHead(ctx context.Context) (err error) {
	o, err := s.runtime.store.Get(ctx, batch.HeadName(s.id))
	if errors.Is(err, platform.ErrNotFound) {
		s.head, s.version = batch.Head{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	h, err := batch.ParseHead(o.Value)
	if err != nil {
		return err
	}
	if h.Epoch > s.epoch {
		return errNewerOwner
	}
	s.head, s.version = h, o.Version
	return nil
}

// writeHead makes a new head visible if the old one still stands.
func (s *shard) writeHead(ctx context.Context, h batch.Head) (err error) {
	name := batch.HeadName(s.id)
	var v ids.Version
	if s.version == 0 {
		v, err = s.runtime.store.Create(ctx, name, h.Marshal())
	} else {
		v, err = s.runtime.store.Update(ctx, name, s.version, h.Marshal())
	}
	if err != nil {
		return err
	}
	s.head, s.version = h, v
	return nil
}
