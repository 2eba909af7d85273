package dispatch

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/crash"
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
)

// placeSuspect starts a request whose prompt may crash its server. Such requests run one at a time for each suspect part,
// on a server that gets no other request until it begins to answer, so that a further crash shows its cause.
func (sc *Scheduler) placeSuspect(now time.Time, w *waiter) bool {
	p := w.pool
	parts := sc.judge(now, w).best.Parts
	if len(p.trials) >= max(1, int(trialShare*float64(p.presentServers()))) || p.onTrial(now, w.request, parts) {
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
	g := sc.grant(now, w, s, in)
	g.Trial = true
	sc.commands = append(sc.commands, g)
	return true
}

// onTrial reports whether a request that is alike, or one of the parts, is on trial.
func (p *pool) onTrial(now time.Time, req SlotRequest, parts []ids.PromptPartID) bool {
	for _, r := range p.trials {
		if now.Sub(r.start) >= trialTimeout {
			continue
		}
		alike := req.Fingerprint != 0 && r.request.Fingerprint == req.Fingerprint
		if alike || slices.ContainsFunc(r.trialParts, func(id ids.PromptPartID) bool { return slices.Contains(parts, id) }) {
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
		if !s.usable(now) || s.freeSlots(now) <= 0 || !req.mayRunOn(now, s) || s.failures.suitabilityFor(now, w.key.Host) == unsuitable {
			continue
		}
		if !p.offersRoom(s, w.key, &req) {
			continue
		}
		if v.on(s) == crash.Blocked || sc.crashes.TrialFailed(now, s.ID, s.Incarnation) || sc.suspects.crashedJustNow(now, req.Fingerprint, s) {
			continue // a further crash would prove nothing
		}
		cost := p.cost(now, s, req.Zone) + trialLoadCost*float64(s.usedSlots)
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
	p := sc.pool(r.request.Service)
	if p.trials[r.key] != r {
		return
	}
	delete(p.trials, r.key)
	if r.server.trial == r {
		r.server.trial = nil
	}
}
