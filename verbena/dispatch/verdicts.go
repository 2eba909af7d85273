package dispatch

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
)

// verdicts are the verdicts on a request for each software version of the servers.
type verdicts struct {
	byVersion map[directory.SoftwareVersion]crash.Judgement
	// best is that of the version on which the request may run soonest, or that on the request as a whole if wholeRequest is set.
	best         crash.Judgement
	wholeRequest bool
}

// on returns the verdict for a server.
func (v verdicts) on(s *server) crash.Verdict { return v.byVersion[s.SoftwareVersion].Verdict }

// judgedRequest caches verdicts on a waiting request. They change with the crash reports, and with time once a trial is due.
type judgedRequest struct {
	verdicts verdicts
	revision uint64
	until    time.Time
}

// verdictLifetime is how long cached verdicts may delay a trial.
const verdictLifetime = 100 * time.Millisecond

// judge returns the verdicts on a request: on the parts of its prompt, unless that on the request as a whole is stricter.
func (sc *Scheduler) judge(now time.Time, w *waiter) (v verdicts) {
	v = sc.judgeParts(now, w)
	if sc.disabled[CrashSuspects] || w.request.Class == Batch {
		return v
	}
	if j := sc.suspects.judge(now, w.request.Fingerprint); j.Verdict > v.best.Verdict {
		v.best, v.wholeRequest = j, true
	}
	return v
}

// judgeParts returns the verdicts on the parts of a request's prompt. Batch items are never the cause of crashes.
func (sc *Scheduler) judgeParts(now time.Time, w *waiter) (v verdicts) {
	if sc.crashes.Len() == 0 || len(w.request.Parts) == 0 || w.request.Class == Batch || sc.disabled[CrashingParts] {
		return v
	}
	sc.crashes.RemoveExpired(now)
	if w.judged.revision == sc.crashes.Revision() && now.Before(w.judged.until) {
		return w.judged.verdicts
	}
	v.byVersion = make(map[directory.SoftwareVersion]crash.Judgement)
	for _, s := range w.pool.servers {
		if _, ok := v.byVersion[s.SoftwareVersion]; ok || s.delisted {
			continue
		}
		j := sc.crashes.Judge(now, w.request.Service, s.SoftwareVersion, w.request.Parts, sc.maxCrashes())
		if !sc.independent {
			j = j.For(w.key.Host) // others that decide locally would try it at the same time
		}
		if len(v.byVersion) == 0 || j.Verdict < v.best.Verdict || j.Verdict == v.best.Verdict && j.NextTrial < v.best.NextTrial && j.NextTrial > 0 {
			v.best = j
		}
		v.byVersion[s.SoftwareVersion] = j
	}
	w.judged = judgedRequest{verdicts: v, revision: sc.crashes.Revision(), until: now.Add(verdictLifetime)}
	return v
}

// isSuspect reports whether the request may only run on trial.
func (sc *Scheduler) isSuspect(now time.Time, w *waiter) bool {
	return sc.judge(now, w).best.Verdict != crash.Clear
}

// excludeUnsafe returns a slot request that excludes the servers whose software may crash on it.
func (v verdicts) excludeUnsafe(p *pool, req SlotRequest) SlotRequest {
	if len(v.byVersion) <= 1 {
		return req
	}
	req.Exclude = slices.Clone(req.Exclude)
	for _, s := range p.servers {
		if v.on(s) != crash.Clear {
			req.Exclude = append(req.Exclude, s.ID)
		}
	}
	return req
}
