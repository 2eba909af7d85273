package crash

import (
	"cmp"
	"slices"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

const (
	// MaxCrashes is how many crashes must incriminate a request before a scheduler blocks it that decides for all hosts.
	// One of them must be of a trial: when many servers crash at once for reasons of their own, all of them may have been
	// running requests with the same parts.
	MaxCrashes = 3
	// maxUnconfirmed is how many crashes that one host reported may be confirmed by a trial of another host. A further one is then
	// at most the fifth.
	maxUnconfirmed = MaxCrashes + 1
	// joinTime is how long after the first sign of a server's crash the ends of its other requests belong to it.
	joinTime = 500 * time.Millisecond
	// runTime is how long before a crash a run may have been placed whose answer clears parts: a run that began much
	// earlier says nothing about the server's present software state.
	runTime = 5 * time.Second
	// retention is how long a crash counts that has blocked no request.
	retention = 10 * time.Minute
	// maxReports and maxCandidates limit the memory of reports and the messages that carry them.
	maxReports    = 128
	maxCandidates = 64
	// expiryInterval is how often reports are searched for expired ones.
	expiryInterval = time.Second
)

// trialPauses are the times after the last crash until blocked requests are tried again, by the number of failed
// trials. After the last one they stay blocked on servers of the same software version.
var trialPauses = []time.Duration{10 * time.Second, time.Minute, 10 * time.Minute}

// Reports holds the crashes that may be due to prompt parts. It is not safe for concurrent use.
type Reports struct {
	list []*Report
	// revision counts the changes.
	revision uint64
	// expiredAt is when expired reports were last removed.
	expiredAt time.Time
}

// Revision changes whenever the reports do.
func (rs *Reports) Revision() uint64 { return rs.revision }

// Len returns the number of reports.
func (rs *Reports) Len() int { return len(rs.list) }

// Unanswered is a request whose connection broke before its server began to answer.
type Unanswered struct {
	// ID becomes the report's id if the request is the first sign of the crash.
	ID          ReportID
	Host        ids.HostID
	Server      ids.BackendID
	Incarnation directory.Incarnation
	Service     ids.ServiceName
	Version     directory.SoftwareVersion
	Parts       []ids.PromptPartID
	// PlacedAt is when the request was placed.
	PlacedAt time.Time
	// Trial is set if the server was reserved for the request.
	Trial bool
	// MaxCrashes is how many crashes its scheduler needed to block the request; 0 means the constant.
	MaxCrashes int
}

// Add records the end of a request. Those of one server within joinTime are one crash.
func (rs *Reports) Add(now time.Time, u Unanswered) *Report {
	rs.revision++
	rs.removeEmpty(now)
	e := rs.blockingEvidence(u.Service, u.Version, u.Parts, cmp.Or(u.MaxCrashes, MaxCrashes))
	proving := u.Trial && (!e.conclusive || e.unconfirmed() && e.host != u.Host || !u.PlacedAt.After(e.last))
	r := rs.recent(now, u)
	if r == nil {
		r = &Report{ID: u.ID, Host: u.Host, Server: u.Server, Incarnation: u.Incarnation, Service: u.Service, Version: u.Version, at: now}
		rs.list = append(rs.list, r)
		rs.limit()
	}
	r.addSign(now, u)
	r.OtherCause = r.OtherCause || len(u.Parts) == 0
	r.Trial = r.Trial || u.Trial
	r.Proving = r.Proving || proving
	for _, p := range u.Parts {
		switch {
		case slices.Contains(r.Candidates, p):
		case len(r.Candidates) < maxCandidates:
			r.Candidates = append(r.Candidates, p)
		default:
			r.OtherCause = true
		}
	}
	return r
}

// TrialFailed reports whether a trial crashed a start of a server so recently that another one would count as the same crash.
func (rs *Reports) TrialFailed(now time.Time, server ids.BackendID, incarnation directory.Incarnation) bool {
	r := rs.recent(now, Unanswered{Server: server, Incarnation: incarnation})
	return r != nil && r.Trial
}

// removeEmpty removes the reports of crashes that only requests without shared parts can have caused.
func (rs *Reports) removeEmpty(now time.Time) {
	rs.list = slices.DeleteFunc(rs.list, func(r *Report) bool { return len(r.Candidates) == 0 && now.Sub(r.at) >= joinTime })
}

// recent returns the report of the crash that ended the request, or nil if it is the first sign of it.
func (rs *Reports) recent(now time.Time, u Unanswered) *Report {
	for _, r := range rs.list {
		if r.Server == u.Server && r.Incarnation == u.Incarnation && now.Sub(r.at) < joinTime {
			return r
		}
	}
	return nil
}

// limit removes a report if there are too many. Reports that block requests and others have half of the memory each, and
// may use what the others leave; the oldest one of the kind that has more is removed.
func (rs *Reports) limit() {
	if len(rs.list) <= maxReports {
		return
	}
	var oldest [2]int // of the reports that block nothing, and of those that do
	var count [2]int
	for i, r := range slices.Backward(rs.list) {
		kind := 0
		if rs.blocks(r) {
			kind = 1
		}
		oldest[kind] = i
		count[kind]++
	}
	remove := oldest[1]
	if count[0] > maxReports/2 {
		remove = oldest[0]
	}
	rs.list = slices.Delete(rs.list, remove, remove+1)
}

// blocks reports whether requests are blocked because of the report, with others.
func (rs *Reports) blocks(r *Report) bool {
	return rs.evidence(r.Service, r.Version, r.Candidates, MaxCrashes).conclusive
}

// evidence is what the crashes of one software version say of a request.
type evidence struct {
	// crashes counts those that incriminate the request.
	crashes int
	// conclusive is set once they suffice to block it, failedTrials counts the trials that crashed since. Beyond MaxCrashes,
	// those are no such trials that other schedulers needed to block it: they ran at the same time, not after a pause.
	conclusive   bool
	failedTrials int
	last         time.Time
	// host is the one that reported all of the crashes, or empty.
	host ids.HostID
}

// unconfirmed reports whether only one host reported the crashes, and no later trial has shown whether its path is the cause.
func (e evidence) unconfirmed() bool {
	return e.conclusive && e.host != "" && e.failedTrials == 0 && e.crashes >= MaxCrashes && e.crashes <= maxUnconfirmed
}

// evidence collects what the crashes of a software version say of a request with these parts.
func (rs *Reports) evidence(service ids.ServiceName, version directory.SoftwareVersion, parts []ids.PromptPartID, maxCrashes int) (e evidence) {
	trial := false
	for _, r := range rs.list {
		if r.Service != service || r.Version != version || !r.incriminates(parts) {
			continue
		}
		e.crashes++
		if e.crashes == 1 {
			e.host = r.Host
		} else if e.host != r.Host {
			e.host = ""
		}
		e.last = r.at
		if e.conclusive && r.Trial && (!r.Proving || e.crashes <= MaxCrashes) {
			e.failedTrials++
		}
		trial = trial || r.Trial
		e.conclusive = trial && e.crashes >= maxCrashes
	}
	return e
}

// Answered clears the parts of a request that a server has begun to answer, as far as they are candidates for crashes of
// the same software. startedAt is when the request was placed.
func (rs *Reports) Answered(service ids.ServiceName, version directory.SoftwareVersion, parts []ids.PromptPartID, startedAt time.Time) {
	if len(rs.list) == 0 || len(parts) == 0 {
		return
	}
	kept := rs.list[:0]
	for _, r := range rs.list {
		if r.Service == service && r.Version != version && r.incriminates(parts) && r.recordSound(version) {
			rs.revision++
		}
		if r.Service == service && r.Version == version && r.intersects(parts) && !startedAt.Before(r.at.Add(-runTime)) {
			rs.revision++
			r.Candidates = slices.DeleteFunc(slices.Clone(r.Candidates), func(p ids.PromptPartID) bool { return slices.Contains(parts, p) })
			if len(r.Candidates) == 0 {
				continue
			}
		}
		kept = append(kept, r)
	}
	clear(rs.list[len(kept):])
	rs.list = kept
}

// Judge returns the verdict on a request with these parts on servers of a software version. maxCrashes is how many
// crashes must incriminate the request before it is blocked.
func (rs *Reports) Judge(
	now time.Time, service ids.ServiceName, version directory.SoftwareVersion, parts []ids.PromptPartID, maxCrashes int,
) (j Judgement) {
	if len(rs.list) == 0 || len(parts) == 0 {
		return j
	}
	if j.Parts = rs.suspectParts(service, version, parts); len(j.Parts) == 0 {
		return j
	}
	j.Verdict = Suspect
	e := rs.blockingEvidence(service, version, parts, maxCrashes)
	j.Crashes = e.crashes
	if !e.conclusive {
		return j
	}
	if e.failedTrials < len(trialPauses) {
		j.NextTrial = e.last.Add(trialPauses[e.failedTrials]).Sub(now)
		if j.NextTrial <= 0 {
			j.NextTrial = 0
			return j
		}
	}
	j.Verdict = Blocked
	if e.unconfirmed() {
		j.ReportedBy = e.host
	}
	return j
}

// blockingEvidence collects the evidence by which a request with these parts is judged.
func (rs *Reports) blockingEvidence(service ids.ServiceName, version directory.SoftwareVersion, parts []ids.PromptPartID, maxCrashes int) evidence {
	if rs.conclusiveElsewhere(service, version, parts, maxCrashes) {
		maxCrashes = 1 // what crashes one version needs no further proof on the next
	}
	return rs.evidence(service, version, parts, maxCrashes)
}

// conclusiveElsewhere reports whether a request with these parts is blocked on another software version.
func (rs *Reports) conclusiveElsewhere(service ids.ServiceName, version directory.SoftwareVersion, parts []ids.PromptPartID, maxCrashes int) bool {
	checked := []directory.SoftwareVersion{version}
	for _, r := range rs.list {
		if r.Service != service || slices.Contains(checked, r.Version) || !r.incriminates(parts) || slices.Contains(r.SoundOn, version) {
			continue
		}
		if rs.evidence(service, r.Version, parts, maxCrashes).conclusive {
			return true
		}
		checked = append(checked, r.Version)
	}
	return false
}

// suspectParts returns the parts that are candidates for a crash that concerns a request with these parts.
func (rs *Reports) suspectParts(service ids.ServiceName, version directory.SoftwareVersion, parts []ids.PromptPartID) (list []ids.PromptPartID) {
	for _, r := range rs.list {
		if r.Service != service || !r.concerns(version, parts) {
			continue
		}
		for _, c := range r.Candidates {
			if slices.Contains(parts, c) && !slices.Contains(list, c) {
				list = append(list, c)
			}
		}
	}
	return list
}

// CrashedOn reports whether the server crashed in a way that makes the request suspect.
func (rs *Reports) CrashedOn(s ids.BackendID, parts []ids.PromptPartID) bool {
	return slices.ContainsFunc(rs.list, func(r *Report) bool { return r.Server == s && r.intersects(parts) })
}

// RemoveExpired removes reports that are older than their retention and block nothing.
func (rs *Reports) RemoveExpired(now time.Time) {
	if len(rs.list) == 0 || now.Sub(rs.list[0].at) < retention || now.Sub(rs.expiredAt) < expiryInterval {
		return // they are in the order of their times, but for a few received from other hosts
	}
	rs.expiredAt = now
	kept := slices.DeleteFunc(slices.Clone(rs.list), func(r *Report) bool { return now.Sub(r.at) >= retention && !rs.blocks(r) })
	if len(kept) < len(rs.list) {
		rs.revision++
	}
	rs.list = kept
}

// Snapshot returns the reports that are at least minAge old, for other hosts. Parts of sound requests are mostly cleared
// sooner, so that they are not sent at all. complete is false if there are younger ones.
func (rs *Reports) Snapshot(now time.Time, minAge time.Duration) (list []Report, complete bool) {
	complete = true
	for _, r := range rs.list {
		switch age := now.Sub(r.at); {
		case len(r.Candidates) == 0:
		case age < minAge:
			complete = false
		default:
			sent := *r
			sent.Age = age
			list = append(list, sent)
		}
	}
	return list, complete
}

// Blocking returns those of the reports because of which requests are blocked.
func Blocking(all []Report) (list []Report) {
	var rs Reports
	rs.Merge(time.Time{}, all)
	for _, r := range rs.list {
		if rs.blocks(r) {
			list = append(list, *r)
		}
	}
	return list
}

// Merge adds reports of another host, other than those that are known already.
func (rs *Reports) Merge(now time.Time, list []Report) {
	for _, r := range list {
		if slices.ContainsFunc(rs.list, func(o *Report) bool { return o.ID == r.ID }) || len(r.Candidates) == 0 {
			continue
		}
		r.Candidates = r.Candidates[:min(len(r.Candidates), maxCandidates)]
		r.at = now.Add(-r.Age)
		rs.revision++
		rs.list = append(rs.list, &r)
		rs.limit()
	}
	slices.SortStableFunc(rs.list, func(a, b *Report) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
}

// Replace replaces all reports by those of another host.
func (rs *Reports) Replace(now time.Time, list []Report) {
	rs.list = nil
	rs.revision++
	rs.Merge(now, list)
}
