package dispatch

import "time"

const (
	// maxCrashes is how many broken sends a request may have before it is refused.
	maxCrashes = 3
	// suspectMemory is how long a request is remembered after a broken send; callers retry within seconds.
	suspectMemory = 60 * time.Second
)

// suspect counts the broken sends of a request.
type suspect struct {
	crashes int
	until   time.Time
}

// suspects holds the requests that may crash servers, by fingerprint.
type suspects map[uint64]*suspect

// record counts a broken send, or clears a request that was served. It returns the number of broken sends counted, 0
// if the result is no broken send.
func (s suspects) record(now time.Time, fingerprint uint64, result Result) (count int) {
	if fingerprint == 0 {
		return 0
	}
	switch result {
	case Served:
		delete(s, fingerprint)
	case Broken:
		e, ok := s[fingerprint]
		if !ok {
			e = &suspect{}
			s[fingerprint] = e
		}
		e.crashes++
		e.until = now.Add(suspectMemory)
		return e.crashes
	case Cancelled, Full, Gone, Unreachable, Failed, NoPath, Silent, Rejected: // only a server's own end of a send is evidence
	}
	return 0
}

func (s suspects) isCrashing(fingerprint uint64) bool {
	e, ok := s[fingerprint]
	return ok && e.crashes >= maxCrashes
}

func (s suspects) removeExpired(now time.Time) {
	for f, e := range s {
		if now.After(e.until) {
			delete(s, f)
		}
	}
}
