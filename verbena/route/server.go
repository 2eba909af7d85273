package route

import (
	"cmp"
	"slices"
	"time"

	"verbenaledge.example/verbena/backend"
)

// server is a host's state for one backend server.
type server struct {
	backend.Server
	inFlight           int
	suspects           int
	startedSinceReport int
	reportedLoad       int
	reportedAt         time.Time
	online             int
	onlineAt           time.Time
	startedSinceOnline int
	leavingAt          time.Time
	// failures counts the failures since the last success.
	failures     int
	ejectedUntil time.Time
}

func (s *server) unsuitable(now time.Time, r Request) bool {
	return s.State != backend.Live || s.isLeaving(now) || slices.Contains(r.Tried, s.ID)
}

// onlineLoad returns how many online requests run at the server, as far as this host knows.
func (s *server) onlineLoad(now time.Time) int {
	if now.Sub(s.onlineAt) > onlineCountValidFor {
		return s.inFlight
	}
	return max(s.inFlight, s.online+s.startedSinceOnline)
}

// load returns the larger of two numbers: the requests that this host runs at the server, and the load that
// the server last reported plus the requests started since. The weight of a report falls with its age.
func (s *server) load(now time.Time) float64 {
	own := float64(s.inFlight)
	age := now.Sub(s.reportedAt)
	if age > loadReportValidFor {
		return own
	}
	weight := 1 - float64(age)/float64(loadReportValidFor)
	return max(own, weight*float64(s.reportedLoad)+float64(s.startedSinceReport))
}

func (s *server) isAvailable(now time.Time) bool {
	return s.State == backend.Live && !s.isLeaving(now) && !now.Before(s.ejectedUntil)
}

func (s *server) isLeaving(now time.Time) bool {
	return s.State == backend.Leaving || (!s.leavingAt.IsZero() && now.Sub(s.leavingAt) < leavingValidFor)
}

func backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures-1, 10), maxBackoff)
}

func byID(x, y backend.Server) int {
	return cmp.Compare(x.ID, y.ID)
}
