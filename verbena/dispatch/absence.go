package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// silentFor is how long a host that fell silent is taken to go on alone. Cuts between hosts seldom
	// last longer; a host that is gone costs its part of the rates for as long.
	silentFor = 20 * time.Second
	// closedFor is the same for a host that closed its connection: it ended, or connects anew at once.
	closedFor = 3 * time.Second
)

// absence keeps what hosts out of touch may admit by themselves, so that all hosts together keep to the
// rates. A host that decides alone goes on with what it had.
type absence struct {
	// used is what each host in touch was admitted lately.
	used map[ids.HostID]map[ids.WorkspaceID]*decaying
	// entries are the hosts in touch that take callers.
	entries      map[ids.HostID]bool
	leaving      map[ids.HostID]bool
	disconnected map[ids.HostID]disconnectedHost
	// expected is how many hosts take callers, as an earlier dispatcher told the hosts that joined.
	// Until expectedUntil those that have not come may still be with that one.
	expected      int
	expectedUntil time.Time
	// standby is set while another machine dispatches for all hosts that can reach it; those that ask here
	// brought what they were admitted there.
	standby bool
	brought map[ids.HostID]map[ids.WorkspaceID]float64
	sum     map[ids.WorkspaceID]float64
	// uncertain is set while this host's lease doesn't hold: another one may dispatch for the hosts that disconnected.
	uncertain bool
	// next is when somebody ceases to be waited for, or zero.
	next time.Time
}

// disconnectedHost is a host that may decide alone, with what it goes on with.
type disconnectedHost struct {
	until time.Time
	used  map[ids.WorkspaceID]float64
}

func newAbsence() absence {
	return absence{
		used: make(map[ids.HostID]map[ids.WorkspaceID]*decaying), entries: make(map[ids.HostID]bool),
		leaving: make(map[ids.HostID]bool), disconnected: make(map[ids.HostID]disconnectedHost),
		brought: make(map[ids.HostID]map[ids.WorkspaceID]float64), sum: make(map[ids.WorkspaceID]float64),
	}
}

// add counts a request that was admitted for a host.
func (a *absence) add(now time.Time, host ids.HostID, w ids.WorkspaceID) {
	if used, ok := a.used[host]; ok {
		count(used, now, w)
	}
}

// standBy notes whether another machine dispatches for all hosts that can reach it.
func (a *absence) standBy(now time.Time, e StandbyChanged) {
	if a.standby && !e.On {
		a.expectedUntil = now.Add(silentFor)
	}
	a.standby = e.On
	if a.standby && len(a.entries) == 0 {
		a.expected = e.EntryHosts
	}
	a.settle(now)
}

// slots is the part of the slots that the hosts in touch may use. ok is false if it doesn't depend on them.
func (a *absence) slots() (part float64, ok bool) {
	if !a.standby || a.expected <= len(a.entries) {
		return 1, a.standby
	}
	return float64(max(1, len(a.entries))) / float64(a.expected), true
}

// bring notes what a host was admitted elsewhere, or forgets it with nil.
func (a *absence) bring(host ids.HostID, used map[ids.WorkspaceID]float64) {
	for w, r := range a.brought[host] {
		a.sum[w] -= r
	}
	delete(a.brought, host)
	if len(used) == 0 {
		return
	}
	a.brought[host] = used
	for w, r := range used {
		a.sum[w] += r
	}
}

// join takes a host that is in touch again, with what it was admitted lately, here or elsewhere. first
// tells that nobody asked a standby before.
func (a *absence) join(now time.Time, e HostConnected) (first bool) {
	delete(a.disconnected, e.Host)
	a.bring(e.Host, e.AdmittedPerSecond)
	first = a.standby && len(a.entries) == 0
	used := make(map[ids.WorkspaceID]*decaying, len(e.AdmittedPerSecond))
	for w, r := range e.AdmittedPerSecond {
		used[w] = &decaying{perSecond: r, at: now}
	}
	a.used[e.Host] = used
	if e.AcceptsCallers && len(a.entries) == 0 {
		a.expectedUntil = now.Add(silentFor)
	}
	if e.AcceptsCallers {
		a.entries[e.Host] = true
		a.expected = max(a.expected, e.EntryHosts)
	}
	a.leaving[e.Host] = e.Leaving
	a.settle(now)
	return first
}

// leave notes that a host will not be back when it parts.
func (a *absence) leave(host ids.HostID) { a.leaving[host] = true }

// part takes a host that is out of touch.
func (a *absence) part(now time.Time, e HostDisconnected) {
	if a.entries[e.Host] && !a.leaving[e.Host] {
		d := closedFor
		if e.Silent {
			d = silentFor
		}
		a.disconnected[e.Host] = disconnectedHost{until: now.Add(d), used: ratesAt(a.used[e.Host], now)}
	}
	a.bring(e.Host, nil)
	if a.leaving[e.Host] && a.expected > 0 {
		a.expected--
	}
	delete(a.used, e.Host)
	delete(a.entries, e.Host)
	delete(a.leaving, e.Host)
	a.settle(now)
}

// leaseUncertain notes whether another host may dispatch beside this one.
func (a *absence) leaseUncertain(now time.Time, uncertain bool) {
	if a.uncertain && !uncertain {
		for h, p := range a.disconnected {
			p.until = now.Add(silentFor)
			a.disconnected[h] = p
		}
	}
	a.uncertain = uncertain
	a.settle(now)
}

// settle forgets whom it waited for long enough, and notes when to look again.
func (a *absence) settle(now time.Time) {
	a.next = time.Time{}
	if a.uncertain {
		return
	}
	for h, p := range a.disconnected {
		if !now.Before(p.until) {
			delete(a.disconnected, h)
			continue
		}
		a.lookAt(p.until)
	}
	if a.standby {
		return
	}
	if a.expected <= len(a.entries) || !now.Before(a.expectedUntil) {
		a.expected = 0
		return
	}
	a.lookAt(a.expectedUntil)
}

func (a *absence) lookAt(at time.Time) {
	if a.next.IsZero() || at.Before(a.next) {
		a.next = at
	}
}

// due tells whether somebody ceases to be waited for.
func (a *absence) due(now time.Time) bool { return !a.next.IsZero() && !now.Before(a.next) }

// left is what hosts in touch may be admitted of a rate. Of hosts that are missing nothing else is known,
// so an even part is left to each. What the hosts that ask a standby were admitted before is theirs still.
func (a *absence) left(w ids.WorkspaceID, r Rate) Rate {
	share := 1.0
	if missing := a.expected - len(a.entries) - len(a.disconnected); missing > 0 {
		share -= float64(missing) / float64(a.expected)
	}
	own := r.PerSecond * share
	if a.standby {
		own = max(own, min(r.PerSecond, a.sum[w]))
	}
	for _, p := range a.disconnected {
		own -= p.used[w]
	}
	r.PerSecond = max(0, own)
	return r
}
