package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// minFirstTries is the number of first tries at hosts that are cut off, and at the others, from which on they are compared.
	minFirstTries = 20
	// answerTime is the time before the end of a cut from which on callers' tries are not counted.
	answerTime = 2 * time.Second
	// First tries at hosts that are cut off must be served minServedShare times as often as at the others, unless at most
	// toleratedFailures and one in toleratedFailurePeriod of all first tries fail there.
	minServedShare         = 2.0 / 3
	toleratedFailures      = 10
	toleratedFailurePeriod = 50
)

// firstTries counts callers' first tries.
type firstTries struct{ sent, served int }

// add counts a call. What is answered after the end of the cut was not served in it.
func (t *firstTries) add(c Call, cutEnd time.Time) {
	t.sent++
	if c.Status == http.StatusOK && c.Complete && c.Ended.Before(cutEnd) {
		t.served++
	}
}

func (t *firstTries) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// checkCuts checks that callers of hosts that are cut off from all servers are served nearly as often as those of the other
// hosts at the same time, from contactTime after the start of the cut on.
func checkCuts(ev *Evidence) (violations []Violation) {
	var cutOff, others firstTries
	for _, c := range ev.Calls {
		if !c.isFirstTry() || ev.isFaulty(c.Host, c.Sent) || ev.isFaulty(anyStorageHost, c.Sent) {
			continue
		}
		switch own, other := ev.cutsOf(c, true), ev.cutsOf(c, false); {
		case own.judged:
			cutOff.add(c, own.end)
		case !own.any && other.judged:
			others.add(c, other.end)
		}
	}
	failed := cutOff.sent - cutOff.served
	tolerated := toleratedFailures + (cutOff.sent+others.sent)/toleratedFailurePeriod
	if min(cutOff.sent, others.sent) >= minFirstTries && cutOff.share() < minServedShare*others.share() && failed > tolerated {
		text := fmt.Sprintf("%d of %d first tries at hosts that were cut off from all servers were served, %d of %d at the others",
			cutOff.served, cutOff.sent, others.served, others.sent)
		last := ev.CutPeriods[len(ev.CutPeriods)-1]
		violations = append(violations, Violation{"cut off", last.Host, text + ", last " + string(last.Kind), last.From})
	}
	return violations
}

// isFirstTry reports whether a call is a caller's first try, which its host should serve. Calls beyond a workspace's rate,
// without a valid key, and those that their callers gave up are not counted.
func (c Call) isFirstTry() bool {
	return c.FirstAttempt == "" && c.Host != "" && !c.Abandoned && c.Status != http.StatusTooManyRequests && (c.Key == keyWithinRate || c.Key == keyStreams)
}

// cutState says whether any cut is in force or its connections haven't recovered, and whether callers must be served in it,
// before its end.
type cutState struct {
	any, judged bool
	end         time.Time
}

// cutsOf returns the state of the cuts of a call's own host or of the other ones at the time when it was sent.
func (ev *Evidence) cutsOf(c Call, own bool) (s cutState) {
	for _, p := range ev.CutPeriods {
		if (p.Host == c.Host) != own || !own && ev.isFaulty(p.Host, c.Sent) {
			continue
		}
		s.any = s.any || !c.Sent.Before(p.From) && c.Sent.Before(p.To.Add(contactTime))
		if !c.Sent.Before(p.From.Add(contactTime)) && c.Sent.Before(p.To.Add(-answerTime)) {
			s.judged, s.end = true, p.To
		}
	}
	return s
}

// isFaulty reports whether a host has, or had shortly before, a fault that isn't a cut.
func (ev *Evidence) isFaulty(name string, at time.Time) bool {
	for _, d := range ev.HostFaults {
		if d.Name == name && !at.Before(d.From) && at.Before(d.To.Add(contactTime)) {
			return true
		}
	}
	return false
}

// faultyHost returns the host that a fault concerns, with its connections but those to servers; empty if there is none.
func (e *Environment) faultyHost(f PlannedFault) string {
	switch kind, perHost := string(f.Kind), f.Kind.fault().targetCount != 1; {
	case strings.HasPrefix(kind, "seats_"):
		return anyStorageHost
	case kind == "kill", kind == "stop", kind == "pause", perHost && hasAnyPrefix(kind, "peers_", "store_", "callers_"):
		return e.hosts[f.Target].name
	}
	return ""
}

func hasAnyPrefix(s string, prefixes ...string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(s, p) })
}
