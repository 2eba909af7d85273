package dispatch

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// crashesToBlock is how many crashes a request must have been in before it is blocked, one of them on trial: when many servers
	// crash at once, all of them may have been running requests that are alike.
	crashesToBlock = 3
	// crashesToSuspect is after how many crashes a request runs on trial only.
	crashesToSuspect = crashesToBlock - 1
	// sameCrashTime is how long after the first sign of a server's crash the ends of its other requests belong to it.
	sameCrashTime = 500 * time.Millisecond
	// suspectMemory is how long crashes count that block nothing; callers retry within seconds.
	suspectMemory = time.Minute
	// blockMemory is how long a blocked request is remembered that nobody sends again.
	blockMemory = 20 * time.Minute
	// maxSuspects limits the memory of suspects. The one whose last crash is the oldest is forgotten first.
	maxSuspects = 1024
)

// blockTime returns the time after the last crash until a blocked request runs on trial again, by the number of trials that failed
// since it was blocked.
func blockTime(failedTrials int) time.Duration {
	if failedTrials == 0 {
		return time.Minute
	}
	return 10 * time.Minute
}

// suspect holds the crashes in which a request was, or others that are alike.
type suspect struct {
	crashes int
	// signs are the latest signs of the crashes of servers, one for each start.
	signs []crashSign
	last  time.Time
	// onTrial is set if one of the crashes was of a trial, failedTrials counts the trials since the request was blocked.
	onTrial      bool
	failedTrials int
}

// crashSign is the end of a send that a server's crash explains.
type crashSign struct {
	server      ids.BackendID
	incarnation directory.Incarnation
	at          time.Time
}

func (c crashSign) isOf(s *server) bool { return c.server == s.ID && c.incarnation == s.Incarnation }

func (s *suspect) isBlocking() bool { return s.onTrial && s.crashes >= crashesToBlock }

// expiry returns when the request is as any other again.
func (s *suspect) expiry() time.Time {
	if s.isBlocking() {
		return s.last.Add(blockMemory)
	}
	return s.last.Add(suspectMemory)
}

// add counts the broken end of a run, unless it belongs to a crash that has been counted.
func (s *suspect) add(now time.Time, r *run) (counted bool) {
	joins := func(c crashSign) bool { return c.isOf(r.server) && now.Sub(c.at) < sameCrashTime }
	if slices.ContainsFunc(s.signs, joins) {
		return false
	}
	s.signs = slices.DeleteFunc(s.signs, func(c crashSign) bool { return now.Sub(c.at) >= sameCrashTime })
	s.signs = append(s.signs, crashSign{server: r.server.ID, incarnation: r.server.Incarnation, at: now})
	if s.isBlocking() && r.trial {
		s.failedTrials++
	}
	s.crashes++
	s.last, s.onTrial = now, s.onTrial || r.trial
	return true
}

// suspects holds the requests that may crash servers, by fingerprint. Expired ones are as good as removed.
type suspects struct {
	byFingerprint map[uint64]*suspect
	// revision counts the changes because of which a waiting request may be blocked.
	revision uint64
}

// record counts a crash, or clears a request that was served. It returns the number of crashes counted, 0 if the outcome is no sign of
// a further one.
func (ss *suspects) record(now time.Time, r *run, result Result) (count int) {
	fingerprint := r.request.Fingerprint
	if fingerprint == 0 {
		return 0
	}
	switch result {
	case Served:
		delete(ss.byFingerprint, fingerprint)
	case Broken:
		s := ss.at(now, fingerprint)
		if s == nil {
			s = &suspect{}
			ss.insert(now, fingerprint, s)
		}
		if s.add(now, r) {
			ss.revision++
			return s.crashes
		}
	case Cancelled, Full, Gone, Unreachable, Failed, NoPath, Silent, Rejected: // only a server's own end of a send is evidence
	}
	return 0
}

// at returns what is known of a request, nil if that is nothing that counts now.
func (ss *suspects) at(now time.Time, fingerprint uint64) *suspect {
	if s, ok := ss.byFingerprint[fingerprint]; ok && now.Before(s.expiry()) {
		return s
	}
	return nil
}

// insert adds a suspect. At the limit it removes the expired ones, and the oldest one if there are none.
func (ss *suspects) insert(now time.Time, fingerprint uint64, added *suspect) {
	if ss.byFingerprint == nil {
		ss.byFingerprint = make(map[uint64]*suspect)
	}
	if len(ss.byFingerprint) >= maxSuspects {
		ss.makeRoom(now)
	}
	ss.byFingerprint[fingerprint] = added
}

func (ss *suspects) makeRoom(now time.Time) {
	var oldest uint64
	var oldestAt time.Time
	for f, s := range ss.byFingerprint {
		if !now.Before(s.expiry()) {
			delete(ss.byFingerprint, f)
			continue
		}
		if oldestAt.IsZero() || s.last.Before(oldestAt) {
			oldest, oldestAt = f, s.last
		}
	}
	if len(ss.byFingerprint) >= maxSuspects {
		delete(ss.byFingerprint, oldest)
	}
}

// judge returns the verdict on a request.
func (ss *suspects) judge(now time.Time, fingerprint uint64) (j crash.Judgement) {
	if len(ss.byFingerprint) == 0 || fingerprint == 0 {
		return j
	}
	s := ss.at(now, fingerprint)
	if s == nil || s.crashes < crashesToSuspect {
		return j
	}
	j.Verdict, j.Crashes = crash.Suspect, s.crashes
	if s.isBlocking() {
		if j.NextTrial = s.last.Add(blockTime(s.failedTrials)).Sub(now); j.NextTrial > 0 {
			j.Verdict = crash.Blocked
			return j
		}
		j.NextTrial = 0
	}
	return j
}

// crashedJustNow reports whether a request broke off at the server so recently that another time would count as the same crash.
func (ss *suspects) crashedJustNow(now time.Time, fingerprint uint64, at *server) bool {
	s := ss.byFingerprint[fingerprint]
	return s != nil && slices.ContainsFunc(s.signs, func(c crashSign) bool { return c.isOf(at) && now.Sub(c.at) < sameCrashTime })
}
