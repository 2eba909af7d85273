// Package reachability decides whether a host connects to backend servers directly or over another host. A server that only
// other hosts reach is sound, and the path from this host to it is broken. The package does no input or output.
package reachability

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// directHeadStart is how long a direct connection may take before one over another host is attempted as well: many
	// round trips inside a region.
	directHeadStart = 100 * time.Millisecond
	// recheckInterval is the time between attempts to connect directly to a server whose path is broken.
	recheckInterval = 500 * time.Millisecond
	// cutOffServers is how many servers, or all if there are fewer, must be found on broken paths since this host last
	// reached a server directly for it to be cut off.
	cutOffServers = 3
	// brokenExpiry is how long a path counts as broken after it was last found so.
	brokenExpiry = 5 * time.Second
	// unreachableTime is how long no connection over another host is attempted to a server that neither path reached.
	unreachableTime = time.Second
	// silenceLimit is how long a server may send nothing to this host, while it should answer a request, before its path
	// is checked.
	silenceLimit = 300 * time.Millisecond
	// recentContact is how long ago a server may have sent something for its path to count as sound: a few events of a
	// stream, or requests of a busy host.
	recentContact = 500 * time.Millisecond
	// checkInterval is the time between such checks of one server.
	checkInterval = time.Second
)

// Tracker is what one host knows of its paths to backend servers. It is not safe for concurrent use.
type Tracker struct {
	paths map[ids.BackendID]*path
	// cutOff is set while this host is cut off; cutOffBy is the failure that was seen last before.
	cutOff   bool
	cutOffBy Failure
	// directAt is when a direct connection was last established, receivedAt when a server last sent something on one.
	directAt, receivedAt time.Time
	// directTriedAt is when a direct connection was last attempted while this host was cut off.
	directTriedAt time.Time
	// known is the number of servers that are listed.
	known int
}

// path is the path to one server.
type path struct {
	// brokenAt is when the path was last found broken, zero if it isn't; failure says how.
	brokenAt time.Time
	failure  Failure
	// directTriedAt is when a direct connection was last attempted while the path was broken.
	directTriedAt time.Time
	// unreachableAt is when the server was last reached on neither path.
	unreachableAt time.Time
	// receivedAt is when the server last sent something on a direct connection, checkedAt when the path was last checked.
	receivedAt, checkedAt time.Time
}

// NewTracker returns a tracker of sound paths.
func NewTracker() *Tracker { return &Tracker{paths: make(map[ids.BackendID]*path)} }

// SetServers forgets servers that aren't listed any more.
func (t *Tracker) SetServers(known int, listed func(ids.BackendID) bool) {
	t.known = known
	for id := range t.paths {
		if !listed(id) {
			delete(t.paths, id)
		}
	}
}

// Plan returns how to connect to a server now.
func (t *Tracker) Plan(now time.Time, id ids.BackendID) Plan {
	p := t.path(id)
	relay := now.Sub(p.unreachableAt) >= unreachableTime
	if !t.bypassed(now, p) {
		return Plan{Direct: true, Relay: relay, RelayDelay: directHeadStart}
	}
	return Plan{Direct: t.recheckDue(now, p), Relay: relay}
}

// RecheckDue reports whether a direct connection to the server must be attempted, although one over another host is open, to
// learn whether its broken path works again. It counts the attempt as begun.
func (t *Tracker) RecheckDue(now time.Time, id ids.BackendID) bool {
	p := t.path(id)
	return t.bypassed(now, p) && t.recheckDue(now, p)
}

func (t *Tracker) recheckDue(now time.Time, p *path) bool {
	triedAt := &p.directTriedAt
	if t.CutOff() {
		triedAt = &t.directTriedAt // one server stands for all
	}
	if now.Sub(*triedAt) < recheckInterval {
		return false
	}
	*triedAt = now
	return true
}

// Bypassed reports whether connections to the server go over another host at present.
func (t *Tracker) Bypassed(now time.Time, id ids.BackendID) bool { return t.bypassed(now, t.path(id)) }

// ReachesOthers reports whether this host recently received data from another server directly, so that a server that it doesn't reach
// has failed rather than its own path.
func (t *Tracker) ReachesOthers(now time.Time, id ids.BackendID) bool {
	for other, p := range t.paths {
		if other != id && now.Sub(p.receivedAt) < recentContact {
			return !t.CutOff()
		}
	}
	return false
}

// KeepsOpenConnections reports whether open direct connections to the server may be used.
func (t *Tracker) KeepsOpenConnections(now time.Time, id ids.BackendID) bool {
	p := t.path(id)
	switch {
	case p.broken(now):
		return p.failure == Rejected
	case t.CutOff():
		return t.cutOffBy == Rejected
	}
	return true
}

// Connected records that a direct connection was established.
func (t *Tracker) Connected(now time.Time, id ids.BackendID) {
	p := t.path(id)
	p.brokenAt, p.unreachableAt, p.receivedAt = time.Time{}, time.Time{}, now
	t.directAt, t.cutOff = now, false
}

// Received records that the server sent something on a direct connection.
func (t *Tracker) Received(now time.Time, id ids.BackendID) {
	t.path(id).receivedAt, t.receivedAt = now, now
}

// ReachedByRelay records that another host reached the server and this one didn't.
func (t *Tracker) ReachedByRelay(now time.Time, id ids.BackendID, failure Failure) {
	p := t.path(id)
	p.brokenAt, p.failure, p.unreachableAt = now, failure, time.Time{}
	if t.CutOff() || t.brokenSinceDirect(now, failure) < min(cutOffServers, max(1, t.known)) {
		return
	}
	t.cutOff, t.cutOffBy, t.directTriedAt = true, failure, now
}

// brokenSinceDirect counts the paths that were found broken since this host last reached a server directly.
func (t *Tracker) brokenSinceDirect(now time.Time, failure Failure) (n int) {
	reachedAt := t.directAt
	if failure == Silent && t.receivedAt.After(reachedAt) {
		reachedAt = t.receivedAt // a host that receives data from servers is not cut off from all; if it is refused, open connections may live on
	}
	for _, p := range t.paths {
		if p.broken(now) && p.brokenAt.After(reachedAt) {
			n++
		}
	}
	return n
}

// Unreachable records that the server was reached on neither path.
func (t *Tracker) Unreachable(now time.Time, id ids.BackendID) { t.path(id).unreachableAt = now }

// CheckDue reports whether the path to a server must be checked because a request has waited for its answer since sentAt.
// It counts the check as begun.
func (t *Tracker) CheckDue(now, sentAt time.Time, id ids.BackendID) bool {
	p := t.path(id)
	if t.bypassed(now, p) || now.Sub(sentAt) < silenceLimit || now.Sub(p.receivedAt) < silenceLimit || now.Sub(p.checkedAt) < checkInterval {
		return false
	}
	p.checkedAt = now
	return true
}

// DirectHeadStart is how long a direct connection may take before the path counts as broken if another host reaches the
// server.
func DirectHeadStart() time.Duration { return directHeadStart }

// SilenceLimit is how long after a request CheckDue is asked.
func SilenceLimit() time.Duration { return silenceLimit }

// CutOff reports whether this host reaches no server directly, although other hosts do.
func (t *Tracker) CutOff() bool { return t.cutOff }

// BrokenPaths counts the servers that only other hosts reach.
func (t *Tracker) BrokenPaths(now time.Time) (n int) {
	for _, p := range t.paths {
		if p.broken(now) {
			n++
		}
	}
	return n
}

func (t *Tracker) bypassed(now time.Time, p *path) bool { return t.CutOff() || p.broken(now) }

func (t *Tracker) path(id ids.BackendID) *path {
	p, ok := t.paths[id]
	if !ok {
		p = &path{}
		t.paths[id] = p
	}
	return p
}

func (p *path) broken(now time.Time) bool {
	return !p.brokenAt.IsZero() && now.Sub(p.brokenAt) < brokenExpiry
}
