package dispatch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/crash"
)

const (
	// blockedRetryAfter is when a caller may return whose request stays blocked until its part is no longer in use, or
	// the servers' software is replaced.
	blockedRetryAfter = time.Minute
	// minBlockedRetryAfter is the same for one that may soon be tried again; the trial is one request out of many.
	minBlockedRetryAfter = time.Second
)

// maxCrashes is how many crashes must incriminate a request before it is blocked. A host that decides locally shares the
// servers with others that may each try the request.
func (sc *Scheduler) maxCrashes() int {
	if sc.independent {
		return 1
	}
	return crash.MaxCrashes
}

// refuseIfBlocked refuses a request that has crashed several servers, or whose prompt has.
func (sc *Scheduler) refuseIfBlocked(now time.Time, w *waiter) bool {
	v := sc.judge(now, w)
	j, reason := v.best, CrashingPart
	if j.Verdict != crash.Blocked {
		return false
	}
	if v.wholeRequest {
		reason = Crashing
	}
	retryAfter := blockedRetryAfter
	if j.NextTrial > 0 {
		retryAfter = min(max(j.NextTrial, minBlockedRetryAfter), blockedRetryAfter)
	}
	sc.commands = append(sc.commands, Refuse{
		Key: w.key, Reason: reason, RetryAfter: retryAfter, Crashes: j.Crashes, Parts: j.Parts,
		Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)), Resumption: w.resumption,
	})
	return true
}

// refuseBlocked refuses the waiting requests that have become blocked.
func (sc *Scheduler) refuseBlocked(now time.Time, p *pool) {
	if p.crashRevision == sc.crashes.Revision() && p.suspectRevision == sc.suspects.revision {
		return
	}
	p.crashRevision, p.suspectRevision = sc.crashes.Revision(), sc.suspects.revision
	for _, w := range slices.Clone(p.onlineQueue) {
		if sc.refuseIfBlocked(now, w) {
			sc.removeWaiting(w)
			sc.refundToken(w.request)
		}
	}
}

// recordAnswerBegan clears the parts of a request whose answer has begun.
func (sc *Scheduler) recordAnswerBegan(now time.Time, k Key) {
	r, ok := sc.runs[k]
	if !ok {
		return
	}
	sc.endTrial(r)
	sc.crashes.Answered(r.request.Service, r.server.SoftwareVersion, r.request.Parts, r.start)
	sc.servePools(now)
}

// recordCrash records whether the server of a run crashed before it began to answer, or clears the request's parts.
func (sc *Scheduler) recordCrash(now time.Time, r *run, o Outcome) {
	switch {
	case o.Result == Served, o.Result == Failed, o.StreamEvents > 0:
		sc.crashes.Answered(r.request.Service, r.server.SoftwareVersion, r.request.Parts, r.start)
	case o.Result == Broken && o.Unanswered && r.request.Class == Online && !sc.disabled[CrashingParts]:
		sc.crashes.RemoveExpired(now)
		report := sc.crashes.Add(now, crash.Unanswered{
			ID: reportID(r.key, r.server), Host: r.key.Host, Server: r.server.ID, Incarnation: r.server.Incarnation, Service: r.request.Service,
			Version: r.server.SoftwareVersion, Parts: r.request.Parts, PlacedAt: r.start, Trial: r.trial,
			MaxCrashes: sc.maxCrashes(),
		})
		sc.commands = append(sc.commands, CrashReported{
			Key: r.key, Report: *report,
			Crashes: sc.crashes.Judge(now, r.request.Service, r.server.SoftwareVersion, r.request.Parts, sc.maxCrashes()).Crashes,
		})
	}
}

// recordSurvival removes the crashes of a run's server that its answer refutes.
func (sc *Scheduler) recordSurvival(now time.Time, r *run, o Outcome) {
	if o.Result != Served && o.Result != Failed || o.ConnectionAge <= 0 || r.takenOver {
		return
	}
	refuted := sc.crashes.Survived(crash.Survival{
		Server: r.server.ID, Incarnation: r.server.Incarnation, OpenedAt: now.Add(-o.ConnectionAge), PlacedAt: r.start,
	})
	for _, report := range refuted {
		sc.commands = append(sc.commands, CrashRefuted{Key: r.key, Report: report})
	}
}

// reportID returns an id that differs between the crashes that all hosts report.
func reportID(k Key, s *server) crash.ReportID {
	d := xxhash.New()
	_, _ = d.WriteString(string(k.Host)) // a hash never fails
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(k.Ticket)))
	_, _ = d.WriteString(string(s.ID))
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(s.Incarnation)))
	return crash.ReportID(d.Sum64())
}
