package dispatch

import "time"

const (
	// maxCrashes is how many servers a request may break before it is refused everywhere.
	maxCrashes = 3
	// suspectTime is how long a request is remembered after it broke a server; callers send again within seconds.
	suspectTime = 60 * time.Second
)

// suspect is a request during which connections to servers broke.
type suspect struct {
	broken int
	until  time.Time
}

// suspects are the requests that may crash servers, by fingerprint.
type suspects map[uint64]*suspect

func (s suspects) note(now time.Time, fingerprint uint64, v Result) {
	if fingerprint == 0 {
		return
	}
	switch v {
	case Served:
		delete(s, fingerprint)
	case Broken:
		e, ok := s[fingerprint]
		if !ok {
			e = &suspect{}
			s[fingerprint] = e
		}
		e.broken++
		e.until = now.Add(suspectTime)
	case Cancelled, Full, Gone, Unreachable, Failed:
	}
}

func (s suspects) crashing(fingerprint uint64) bool {
	e, ok := s[fingerprint]
	return ok && e.broken >= maxCrashes
}

func (s suspects) forget(now time.Time) {
	for f, e := range s {
		if now.After(e.until) {
			delete(s, f)
		}
	}
}
