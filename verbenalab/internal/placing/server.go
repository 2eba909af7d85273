package placing

import "time"

// The timing of the modelled backend servers, as recorded test days show it.
const (
	// eventTime is the time between two events of an answer on an idle server.
	eventTime = 22 * time.Millisecond
	// firstEventTime is the time to the first event of an answer.
	firstEventTime = 50 * time.Millisecond
	// slowdownPerRequest is the share by which each other running request lengthens the time between events.
	slowdownPerRequest = 0.02
)

// server is a modelled backend server, which runs as many requests as it has slots and queues the others.
type server struct {
	slots   int
	failing bool
	running int
	queue   []*run
}

// run is a request that is queued or running at a server. It is finished when it has ended or was cancelled.
type run struct {
	events   int
	onStart  func(at time.Duration)
	onEnd    func(at time.Duration)
	finished bool
	running  bool
}

// accept starts or queues a request.
func (s *server) accept(t *timeline, r *run) {
	if s.running >= s.slots {
		s.queue = append(s.queue, r)
		return
	}
	s.start(t, r)
}

func (s *server) start(t *timeline, r *run) {
	s.running++
	r.running = true
	slowdown := 1 + slowdownPerRequest*float64(s.running-1)
	t.schedule(firstEventTime, func() {
		if !r.finished {
			r.onStart(t.now)
		}
	})
	total := firstEventTime + time.Duration(float64(r.events)*slowdown*float64(eventTime))
	t.schedule(total, func() {
		if !r.finished {
			r.finished = true
			s.release(t)
			r.onEnd(t.now)
		}
	})
}

// cancel removes a request whose caller has disconnected, whose send has failed or that yields its slot.
func (s *server) cancel(t *timeline, r *run) {
	if r.finished {
		return
	}
	r.finished = true
	if r.running {
		s.release(t)
	}
}

// release frees a slot and starts queued requests.
func (s *server) release(t *timeline) {
	s.running--
	for len(s.queue) > 0 && s.running < s.slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.finished {
			s.start(t, next)
		}
	}
}
