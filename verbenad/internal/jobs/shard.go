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
	retryDelay = 300 * time.Millisecond
	// targetSegmentBytes is the size of buffered results at which a segment is written
	// before FlushDelay. Results are compressed, so that a segment stays well below the
	// platform's value limit.
	targetSegmentBytes = 700 << 10
)

// errNewerOwner reports that another host has taken over the shard.
var errNewerOwner = errors.New("the shard has a newer owner")

// shard is an owned shard. Only its goroutine writes to the platform.
type shard struct {
	runtime *Runtime
	id      ids.ShardID
	epoch   ids.Epoch
	stop    context.CancelFunc
	wake    chan struct{}

	head        batch.Head
	headVersion ids.Version
	segmentSeq  uint64
	// markerVersions holds the version of each open job's marker when the job was last read.
	markerVersions map[ids.JobID]ids.Version
	// pendingSegment holds the results of the segment that is being written, or nil.
	pendingSegment []batch.Result

	mu             sync.Mutex
	buffered       []batch.Result
	bufferedBytes  int
	bufferedSince  time.Time
	pendingCloses  []batch.CloseJob
	pendingRereads []ids.JobID
}

func newShard(r *Runtime, id ids.ShardID, epoch ids.Epoch, stop context.CancelFunc) *shard {
	return &shard{
		runtime: r, id: id, epoch: epoch, stop: stop,
		wake: make(chan struct{}, 1), markerVersions: map[ids.JobID]ids.Version{},
	}
}

func (s *shard) addResult(r batch.Result) {
	s.mu.Lock()
	if len(s.buffered) == 0 {
		s.bufferedSince = time.Now()
	}
	s.buffered = append(s.buffered, r)
	s.bufferedBytes += len(r.Line)
	full := s.bufferedBytes >= targetSegmentBytes
	s.mu.Unlock()
	s.runtime.addHeldBytes(len(r.Line))
	if full {
		s.signal()
	}
}

func (s *shard) requestClose(c batch.CloseJob) {
	s.mu.Lock()
	s.pendingCloses = append(s.pendingCloses, c)
	s.mu.Unlock()
	s.signal()
}

func (s *shard) requestReread(j ids.JobID) {
	s.mu.Lock()
	s.pendingRereads = append(s.pendingRereads, j)
	s.mu.Unlock()
	s.signal()
}

func (s *shard) uncommitted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buffered) + len(s.pendingCloses)
}

func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) run(ctx context.Context) {
	defer s.discardBuffered()
	if !s.retryStep(ctx, "take over", s.takeOver) {
		return
	}
	s.runtime.poster.Post(core.ShardReady{Shard: s.id, Epoch: s.epoch})
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
		if !s.doPendingWork(ctx, err) {
			return
		}
	}
}

// doPendingWork flushes results, rereads and closes jobs. After an error other than
// errNewerOwner it tries again later. It reports whether this host still owns the shard.
func (s *shard) doPendingWork(ctx context.Context, err error) (owned bool) {
	err = errors.Join(err, s.flush(ctx), s.rereadJobs(ctx), s.closeJobs(ctx))
	if errors.Is(err, errNewerOwner) {
		s.runtime.timeline.Record(timeline.Event{
			Kind: timeline.SegmentRefused, Detail: fmt.Sprintf("shard %d epoch %d", s.id, s.epoch),
		})
		metric.SegmentsRefused.Inc()
		s.runtime.poster.Post(core.ShardSuperseded{Shard: s.id, Epoch: s.epoch})
		return false
	}
	if err != nil && ctx.Err() == nil {
		log.WithError(err).WithField("shard", s.id).Debug("batch work failed, will retry")
		time.Sleep(retryDelay)
		s.signal()
	}
	return true
}

// retryStep repeats a step until it succeeds, the shard has a newer owner or the
// context ends. It reports whether the step succeeded.
func (s *shard) retryStep(ctx context.Context, name string, step func(context.Context) error) bool {
	for {
		err := step(ctx)
		if err == nil {
			return true
		}
		if errors.Is(err, errNewerOwner) {
			s.runtime.poster.Post(core.ShardSuperseded{Shard: s.id, Epoch: s.epoch})
			return false
		}
		log.WithError(err).WithField("shard", s.id).Debugf("failed to %s, will retry", name)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryDelay):
		}
	}
}

// discardBuffered drops the results that this host will never commit, and subtracts
// them from the held bytes.
func (s *shard) discardBuffered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := 0
	for _, r := range s.buffered {
		bytes += len(r.Line)
	}
	for _, r := range s.pendingSegment {
		bytes += len(r.Line)
	}
	s.runtime.addHeldBytes(-bytes)
	s.buffered, s.pendingSegment = nil, nil
}

// readHead reads the head. It returns errNewerOwner if the head has a newer epoch.
func (s *shard) readHead(ctx context.Context) (err error) {
	o, err := s.runtime.store.Get(ctx, batch.HeadName(s.id))
	if errors.Is(err, platform.ErrNotFound) {
		s.head, s.headVersion = batch.Head{}, 0
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
	s.head, s.headVersion = h, o.Version
	return nil
}

// writeHead replaces the head if nobody else has changed it.
func (s *shard) writeHead(ctx context.Context, h batch.Head) (err error) {
	name := batch.HeadName(s.id)
	var v ids.Version
	if s.headVersion == 0 {
		v, err = s.runtime.store.Create(ctx, name, h.Marshal())
	} else {
		v, err = s.runtime.store.Update(ctx, name, s.headVersion, h.Marshal())
	}
	if err != nil {
		return err
	}
	s.head, s.headVersion = h, v
	return nil
}
