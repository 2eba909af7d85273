package route

import (
	"cmp"
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
)

// server is what a host knows of one backend server.
type server struct {
	backend.Server
	inFlight     int
	suspects     int
	startedSince int
	reported     int
	reportedAt   time.Time
	online       int
	onlineAt     time.Time
	onlineSince  int
	leavingAt    time.Time
	failures     int
	retryAt      time.Time
}

func (s *server) leavingOrTried(now time.Time, r Request) bool {
	return s.State != backend.Live || s.leaving(now) || slices.Contains(r.Tried, s.ID)
}

// onlineLoad is how many online requests run at a server, as far as this host knows.
func (s *server) onlineLoad(now time.Time) int {
	if now.Sub(s.onlineAt) > onlineFresh {
		return s.inFlight
	}
	return max(s.inFlight, s.online+s.onlineSince)
}

// load is the larger of what this host runs there and what the server last said
// plus what was started since; an old report counts for less.
func (s *server) load(now time.Time) float64 {
	own := float64(s.inFlight)
	age := now.Sub(s.reportedAt)
	if age > loadFresh {
		return own
	}
	weight := 1 - float64(age)/float64(loadFresh)
	return max(own, weight*float64(s.reported)+float64(s.startedSince))
}

func (s *server) takesWork(now time.Time) bool {
	return s.State == backend.Live && !s.leaving(now) && !now.Before(s.retryAt)
}

func (s *server) leaving(now time.Time) bool {
	return s.State == backend.Leaving || (!s.leavingAt.IsZero() && now.Sub(s.leavingAt) < leavingMemory)
}

func backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures-1, 10), maxBackoff)
}

func byID(x, y backend.Server) int {
	return cmp.Compare(x.ID, y.ID)
}
