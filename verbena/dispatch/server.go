package dispatch

import (
	"math"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// fullPause is how long a server that refused is left alone; a slot of the fastest requests is free by then.
	fullPause = 60 * time.Millisecond
	// firstEjection and longestEjection bound how long a server is left alone after failures in a row.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 4 * time.Second
	// speedWeight is the weight of one answer in a server's moving average.
	speedWeight = 0.25
	// slowAt is how much slower than the fastest a server must be to be used last.
	slowAt = 1.8
)

// server is what is known of a backend server.
type server struct {
	directory.Server
	gone bool
	// used counts the slots that are granted, yielding those of them that batch was told to leave.
	used     int
	yielding int
	// failures counts sends in a row that failed.
	failures     int
	ejectedUntil time.Time
	pausedUntil  time.Time
	// stalledUntil is set while nothing is seen of the server, unproven until it answers again.
	stalledUntil time.Time
	unproven     bool
	aliveAt      time.Time
	illness      illness
	// unit is the moving average of the time for an event; 0 before the first answer.
	unit float64
	// first is the moving average of the time to the first byte, in seconds.
	first     float64
	coldUntil time.Time
	// part is the machine's share of the slots.
	part float64
	// order decides among servers that are equal otherwise.
	order uint64
	off   switches
}

// restarted forgets what was seen of the server before it started again. Slots that are granted end by themselves.
func (s *server) restarted(now time.Time, cold time.Duration) {
	s.failures, s.ejectedUntil, s.pausedUntil = 0, time.Time{}, time.Time{}
	s.alive(now)
	s.illness = illness{}
	s.unit, s.first = 0, 0
	s.coldUntil = now.Add(cold)
}

func (s *server) before(o *server) bool {
	if s.order != o.order {
		return s.order < o.order
	}
	return s.ID < o.ID
}

func (s *server) usable(now time.Time) bool {
	return !s.gone && !s.Draining && !s.ejectedOrStalled(now)
}

// ejectedOrStalled tells whether the server gets nothing new for a while.
func (s *server) ejectedOrStalled(now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.stalledUntil)
}

// free counts the slots that a request may take now.
func (s *server) free(now time.Time) int {
	if now.Before(s.pausedUntil) {
		return 0
	}
	slots := s.capacity()
	if s.failures > 0 || s.unproven {
		slots = 1 // a server that failed proves itself with one request
	}
	return slots - s.used + s.yielding
}

// capacity is the number of slots that this machine may use. Machines that don't hear of one another
// take twice their part each: load is uneven, and servers queue what comes too early.
func (s *server) capacity() int {
	if s.part >= 1 {
		return s.Slots
	}
	return min(s.Slots, max(1, int(math.Ceil(2*float64(s.Slots)*s.part))))
}

// learn takes the outcome of a send.
func (s *server) learn(now time.Time, host ids.HostID, o Outcome) {
	switch o.Result {
	case Served:
		s.alive(now)
		s.failures = 0
		s.ejectedUntil = time.Time{}
		s.illness.served(now, host)
		if o.StreamEvents > 0 && o.Elapsed > 0 {
			s.unit = average(s.unit, o.Elapsed.Seconds()/float64(o.StreamEvents))
		}
		if o.TimeToFirstByte > 0 {
			s.first = average(s.first, o.TimeToFirstByte.Seconds())
		}
	case Full:
		s.pausedUntil = now.Add(fullPause)
	case Gone:
		s.gone = true
	case Unreachable, Broken, Failed:
		if !s.off[Ejection] {
			s.failures++
			s.ejectedUntil = now.Add(ejection(s.failures, o.Result))
		}
		if !s.off[FailureRate] {
			s.illness.failed(now, host, o.Result)
		}
	case Cancelled:
	}
}

// ejection doubles with each failure in a row. One lost or failed answer is common on a server
// that serves the others well, so it costs no pause.
func ejection(failures int, v Result) time.Duration {
	if v != Unreachable {
		failures--
	}
	if failures <= 0 {
		return 0
	}
	return min(longestEjection, firstEjection<<min(failures-1, 8))
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + speedWeight*(sample-old)
}
