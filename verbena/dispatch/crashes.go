package dispatch

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// trialTimeout is how long a trial keeps others of the same parts from starting: many times to a first byte. A silent
	// server must not hold up requests that are likely sound.
	trialTimeout = 500 * time.Millisecond
	// trialShare is the share of a service's servers that may be reserved for trials at once; one always may.
	trialShare = 0.125
	// trialLoadCost is added for each request that a server runs, since all of them end if the trial crashes it.
	trialLoadCost = 1.0
	// unansweredCost is added for a server that was given a request within unansweredTimes times to a first byte: if it
	// crashes, that request may be the cause too.
	unansweredCost  = 4.0
	unansweredTimes = 3
	// failingTrialCost is added for a server that fails: a server that is down has the fewest running requests.
	failingTrialCost = 50.0
	// crashedOnCost is added for a server at which the same parts met a broken connection: a server that resets
	// connections without crashing must not incriminate them several times.
	crashedOnCost = 100.0
	// blockedRetryAfter is when a caller may return whose request stays blocked until its part is no longer in use, or
	// the servers' software is replaced.
	blockedRetryAfter = time.Minute
	// minBlockedRetryAfter is the same for one that may soon be tried again; the trial is one request out of many.
	minBlockedRetryAfter = time.Second
	// publishInterval is the minimum time between two snapshots of the crash reports, and the minimum age of those that
	// are sent.
	publishInterval = 200 * time.Millisecond
)

// AnswerBegan is an event: the server of a trial has sent the first part of its answer.
type AnswerBegan struct{ Key Key }

// CrashReportsReceived carries the reports of another host. With Replace, they replace those that are known.
type CrashReportsReceived struct {
	Reports []crash.Report
	Replace bool
}

func (AnswerBegan) event()          {}
func (CrashReportsReceived) event() {}

// CrashReported reports, for logs, that a server crashed while it ran a request.
type CrashReported struct {
	Key    Key
	Report crash.Report
	// Crashes is how many crashes incriminate the request.
	Crashes int
}

// CrashReportsChanged carries the crash reports in force, for other hosts.
type CrashReportsChanged struct{ Reports []crash.Report }

func (CrashReported) command()       {}
func (CrashReportsChanged) command() {}

// maxCrashes is how many crashes must incriminate a request before it is blocked. A host that decides locally shares the
// servers with others that may each try the request.
func (sc *Scheduler) maxCrashes() int {
	if sc.independent {
		return 1
	}
	return crash.MaxCrashes
}

// verdicts are the verdicts on a request for each software version of the servers.
type verdicts struct {
	byVersion map[directory.SoftwareVersion]crash.Judgement
	// best is that of the version on which the request may run soonest.
	best crash.Judgement
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

// judge returns the verdicts on a request. Batch items are never the cause of crashes.
func (sc *Scheduler) judge(now time.Time, w *waiter) (v verdicts) {
	if sc.crashes.Len() == 0 || len(w.request.Parts) == 0 || w.request.Class == Batch || sc.disabled[CrashingParts] {
		return v
	}
	if w.judged.revision == sc.crashes.Revision() && now.Before(w.judged.until) {
		return w.judged.verdicts
	}
	v.byVersion = make(map[directory.SoftwareVersion]crash.Judgement)
	for _, s := range w.pool.servers {
		if _, ok := v.byVersion[s.SoftwareVersion]; ok || s.gone {
			continue
		}
		j := sc.crashes.Judge(now, w.request.Service, s.SoftwareVersion, w.request.Parts, sc.maxCrashes())
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

// refuseIfBlocked refuses a request whose prompt has crashed several servers.
func (sc *Scheduler) refuseIfBlocked(now time.Time, w *waiter) bool {
	j := sc.judge(now, w).best
	if j.Verdict != crash.Blocked {
		return false
	}
	retryAfter := blockedRetryAfter
	if j.NextTrial > 0 {
		retryAfter = min(max(j.NextTrial, minBlockedRetryAfter), blockedRetryAfter)
	}
	sc.commands = append(sc.commands, Refuse{
		Key: w.key, Reason: CrashingPart, RetryAfter: retryAfter, Crashes: j.Crashes, Parts: j.Parts,
		Inputs: w.pool.inputs(w.pool.selectServer(now, w.key.Host, w.request)),
	})
	return true
}

// refuseBlocked refuses the waiting requests that have become blocked.
func (sc *Scheduler) refuseBlocked(now time.Time, p *pool) {
	if p.crashRevision == sc.crashes.Revision() {
		return
	}
	p.crashRevision = sc.crashes.Revision()
	for _, w := range slices.Clone(p.onlineQueue) {
		if sc.refuseIfBlocked(now, w) {
			sc.removeWaiting(w)
			sc.refundToken(w.request)
		}
	}
}

// placeSuspect starts a request whose prompt may crash its server. Such requests run one at a time for each suspect part,
// on a server that gets no other request until it begins to answer, so that a further crash shows its cause.
func (sc *Scheduler) placeSuspect(now time.Time, w *waiter) bool {
	p := w.pool
	parts := sc.judge(now, w).best.Parts
	if len(p.trials) >= max(1, int(trialShare*float64(p.presentServers()))) || p.onTrial(now, parts) {
		return false
	}
	s := sc.selectForTrial(now, w)
	if s == nil {
		return false
	}
	in := p.inputs(p.selectServer(now, w.key.Host, w.request))
	r := sc.startRun(now, w, s)
	r.trialParts, r.trial = parts, true
	s.trial = r
	if p.trials == nil {
		p.trials = make(map[Key]*run)
	}
	p.trials[w.key] = r
	if w.request.Metered {
		sc.reservations.countAdmitted(now, w.key.Host, w.request.Workspace)
	}
	sc.commands = append(sc.commands, Grant{Key: w.key, Server: s.Server, Waited: now.Sub(w.since), Inputs: in, Trial: true})
	return true
}

// onTrial reports whether one of the parts is on trial.
func (p *pool) onTrial(now time.Time, parts []ids.PromptPartID) bool {
	for _, r := range p.trials {
		if now.Sub(r.start) < trialTimeout && slices.ContainsFunc(r.trialParts, func(id ids.PromptPartID) bool { return slices.Contains(parts, id) }) {
			return true
		}
	}
	return false
}

// selectForTrial chooses the server on which a crash would end the fewest other requests and show its cause best.
func (sc *Scheduler) selectForTrial(now time.Time, w *waiter) *server {
	p, req, v := w.pool, w.request, sc.judge(now, w)
	p.refreshFastest(now)
	var best candidate
	for _, s := range p.servers {
		if !s.usable(now) || s.freeSlots(now) <= 0 || excluded(req.Exclude, s.ID) || s.failures.suitabilityFor(now, w.key.Host) == unsuitable {
			continue
		}
		if v.on(s) == crash.Blocked {
			continue
		}
		cost := s.cost(now, req.Zone, p.fastestEventSeconds) + trialLoadCost*float64(s.usedSlots)
		if now.Sub(s.lastGrant) < unansweredTimes*p.firstByteTime() {
			cost += unansweredCost
		}
		if s.failing(now) {
			cost += failingTrialCost
		}
		if sc.crashes.CrashedOn(s.ID, req.Parts) {
			cost += crashedOnCost
		}
		best.keepCheaper(candidate{s, cost})
	}
	return best.server
}

// endTrial opens the server of a trial to other requests.
func (sc *Scheduler) endTrial(r *run) {
	if r.trialParts == nil {
		return
	}
	r.trialParts = nil
	delete(sc.pool(r.request.Service).trials, r.key)
	if r.server.trial == r {
		r.server.trial = nil
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
			ID: reportID(r.key, r.server), Server: r.server.ID, Incarnation: r.server.Incarnation, Service: r.request.Service,
			Version: r.server.SoftwareVersion, Parts: r.request.Parts, Trial: r.trial,
		})
		sc.commands = append(sc.commands, CrashReported{
			Key: r.key, Report: *report,
			Crashes: sc.crashes.Judge(now, r.request.Service, r.server.SoftwareVersion, r.request.Parts, sc.maxCrashes()).Crashes,
		})
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

// receiveReports takes over the crash reports of another host.
func (sc *Scheduler) receiveReports(now time.Time, e CrashReportsReceived) {
	if e.Replace {
		sc.crashes.Replace(now, e.Reports)
		sc.publishedRevision = sc.crashes.Revision() // the sender knows them
		return
	}
	sc.crashes.Merge(now, e.Reports)
}

// publishReports sends the crash reports in force to other hosts when they have changed.
func (sc *Scheduler) publishReports(now time.Time) {
	if !sc.reportsUnpublished() || now.Sub(sc.publishedAt) < publishInterval {
		return
	}
	sc.publishedAt = now
	list, complete := sc.crashes.Snapshot(now, publishInterval)
	if complete {
		sc.publishedRevision = sc.crashes.Revision()
	}
	if sum := checksum(list); sum != sc.publishedSum {
		sc.publishedSum = sum
		sc.commands = append(sc.commands, CrashReportsChanged{Reports: list})
	}
}

// reportsUnpublished reports whether the crash reports have changed since they were last sent.
func (sc *Scheduler) reportsUnpublished() bool {
	return sc.publishedRevision != sc.crashes.Revision()
}

// checksum returns a hash of what other hosts need of the reports; 0 for none.
func checksum(list []crash.Report) uint64 {
	if len(list) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, r := range list {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(r.ID))) // a hash never fails
		for _, c := range r.Candidates {
			_, _ = d.WriteString(string(c) + ",")
		}
		for _, v := range r.SoundOn {
			_, _ = d.WriteString(string(v) + ";")
		}
		if r.OtherCause {
			_, _ = d.WriteString("+")
		}
	}
	return d.Sum64()
}
