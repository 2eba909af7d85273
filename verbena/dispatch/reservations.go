package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// silentReservation is how long a host that stopped responding is assumed to admit requests by itself. Network
	// partitions between hosts seldom last longer. The rates reserved for a host that has failed are unused meanwhile.
	silentReservation = 20 * time.Second
	// closedReservation is the same for a host that closed its connection: it has ended, or connects again at once.
	closedReservation = 3 * time.Second
)

// reservations tracks the connected hosts and what the others may admit by themselves, so that all hosts together keep
// to the rates. A host that decides locally continues at the rates that it was admitted before.
type reservations struct {
	// admitted is the recent rate of admitted requests of each connected host.
	admitted map[ids.HostID]map[ids.WorkspaceID]*decayingRate
	// entryHosts are the connected hosts that accept callers.
	entryHosts   map[ids.HostID]bool
	leaving      map[ids.HostID]bool
	disconnected map[ids.HostID]disconnectedHost
	// expectedHosts is how many hosts accept callers, as an earlier dispatcher told the hosts that connect here.
	// Until expectedUntil, those that have not connected may still use the earlier one.
	expectedHosts int
	expectedUntil time.Time
	// standby is set while another scheduler dispatches for all hosts that can reach it. Hosts that connect here
	// report the rates that they were admitted before, kept in reportedRates.
	standby          bool
	reportedRates    map[ids.HostID]map[ids.WorkspaceID]float64
	reportedRateSums map[ids.WorkspaceID]float64
	// leaseUncertain is set while it is uncertain that this host holds the lease: another one may dispatch for the
	// disconnected hosts.
	leaseUncertain bool
	// nextExpiry is when the next reservation expires, or zero.
	nextExpiry time.Time
}

// disconnectedHost is a host that may decide locally until the given time, at the rates that it was admitted before.
type disconnectedHost struct {
	until    time.Time
	admitted map[ids.WorkspaceID]float64
}

func newReservations() reservations {
	return reservations{
		admitted: make(map[ids.HostID]map[ids.WorkspaceID]*decayingRate), entryHosts: make(map[ids.HostID]bool),
		leaving: make(map[ids.HostID]bool), disconnected: make(map[ids.HostID]disconnectedHost),
		reportedRates: make(map[ids.HostID]map[ids.WorkspaceID]float64), reportedRateSums: make(map[ids.WorkspaceID]float64),
	}
}

// countAdmitted adds a request to the recent rate of the host that it was admitted for.
func (rs *reservations) countAdmitted(now time.Time, host ids.HostID, w ids.WorkspaceID) {
	if admitted, ok := rs.admitted[host]; ok {
		countRequest(admitted, now, w)
	}
}

// setStandby records whether another scheduler dispatches for all hosts that can reach it.
func (rs *reservations) setStandby(now time.Time, e StandbyChanged) {
	if rs.standby && !e.On {
		rs.expectedUntil = now.Add(silentReservation)
	}
	rs.standby = e.On
	if rs.standby && len(rs.entryHosts) == 0 {
		rs.expectedHosts = e.EntryHosts
	}
	rs.removeExpired(now)
}

// slotShare is the share of the slots that the connected hosts may use. ok is false if it doesn't depend on them.
func (rs *reservations) slotShare() (share float64, ok bool) {
	if !rs.standby || rs.expectedHosts <= len(rs.entryHosts) {
		return 1, rs.standby
	}
	return float64(max(1, len(rs.entryHosts))) / float64(rs.expectedHosts), true
}

// setReportedRates records the rates that a host reports from before it connected; nil removes them.
func (rs *reservations) setReportedRates(host ids.HostID, admitted map[ids.WorkspaceID]float64) {
	for w, r := range rs.reportedRates[host] {
		rs.reportedRateSums[w] -= r
	}
	delete(rs.reportedRates, host)
	if len(admitted) == 0 {
		return
	}
	rs.reportedRates[host] = admitted
	for w, r := range admitted {
		rs.reportedRateSums[w] += r
	}
}

// connect adds a host with the rates that it was recently admitted, here or elsewhere. first reports whether this is a
// standby that had no entry host before.
func (rs *reservations) connect(now time.Time, e HostConnected) (first bool) {
	delete(rs.disconnected, e.Host)
	rs.setReportedRates(e.Host, e.AdmittedPerSecond)
	first = rs.standby && len(rs.entryHosts) == 0
	admitted := make(map[ids.WorkspaceID]*decayingRate, len(e.AdmittedPerSecond))
	for w, r := range e.AdmittedPerSecond {
		admitted[w] = &decayingRate{perSecond: r, updatedAt: now}
	}
	rs.admitted[e.Host] = admitted
	if e.AcceptsCallers && len(rs.entryHosts) == 0 {
		rs.expectedUntil = now.Add(silentReservation)
	}
	if e.AcceptsCallers {
		rs.entryHosts[e.Host] = true
		rs.expectedHosts = max(rs.expectedHosts, e.EntryHosts)
	}
	rs.leaving[e.Host] = e.Leaving
	rs.removeExpired(now)
	return first
}

// setLeaving records that a host will not come back once it disconnects.
func (rs *reservations) setLeaving(host ids.HostID) { rs.leaving[host] = true }

// disconnect removes a host, and reserves its part of the rates unless it is leaving.
func (rs *reservations) disconnect(now time.Time, e HostDisconnected) {
	if rs.entryHosts[e.Host] && !rs.leaving[e.Host] {
		d := closedReservation
		if e.Silent {
			d = silentReservation
		}
		rs.disconnected[e.Host] = disconnectedHost{until: now.Add(d), admitted: ratesAt(rs.admitted[e.Host], now)}
	}
	rs.setReportedRates(e.Host, nil)
	if rs.leaving[e.Host] && rs.expectedHosts > 0 {
		rs.expectedHosts--
	}
	delete(rs.admitted, e.Host)
	delete(rs.entryHosts, e.Host)
	delete(rs.leaving, e.Host)
	rs.removeExpired(now)
}

// setLeaseUncertain records whether another host may dispatch beside this one. Once the lease is certain, disconnected
// hosts may still use the other one for a while.
func (rs *reservations) setLeaseUncertain(now time.Time, uncertain bool) {
	if rs.leaseUncertain && !uncertain {
		for h, d := range rs.disconnected {
			d.until = now.Add(silentReservation)
			rs.disconnected[h] = d
		}
	}
	rs.leaseUncertain = uncertain
	rs.removeExpired(now)
}

// removeExpired removes expired reservations and schedules the next expiry.
func (rs *reservations) removeExpired(now time.Time) {
	rs.nextExpiry = time.Time{}
	if rs.leaseUncertain {
		return
	}
	for h, d := range rs.disconnected {
		if !now.Before(d.until) {
			delete(rs.disconnected, h)
			continue
		}
		rs.scheduleExpiry(d.until)
	}
	if rs.standby {
		return
	}
	if rs.expectedHosts <= len(rs.entryHosts) || !now.Before(rs.expectedUntil) {
		rs.expectedHosts = 0
		return
	}
	rs.scheduleExpiry(rs.expectedUntil)
}

func (rs *reservations) scheduleExpiry(at time.Time) {
	if rs.nextExpiry.IsZero() || at.Before(rs.nextExpiry) {
		rs.nextExpiry = at
	}
}

// connectedShare is the part of a server's limit that the connected hosts may use; the rest is left to the others.
func (rs *reservations) connectedShare() float64 {
	if share, ok := rs.slotShare(); ok {
		return share
	}
	absent := len(rs.disconnected) + max(0, rs.expectedHosts-len(rs.entryHosts)-len(rs.disconnected))
	if absent == 0 {
		return 1
	}
	connected := max(1, len(rs.entryHosts))
	return float64(connected) / float64(connected+absent)
}

// expiryDue reports whether a reservation has expired.
func (rs *reservations) expiryDue(now time.Time) bool {
	return !rs.nextExpiry.IsZero() && !now.Before(rs.nextExpiry)
}

// available returns the part of a rate that is left for the connected hosts. An even part is reserved for each expected
// host that has not connected, since nothing else is known of it. Hosts that connect to a standby keep at least what they
// were admitted before.
func (rs *reservations) available(w ids.WorkspaceID, r Rate) Rate {
	share := 1.0
	if missing := rs.expectedHosts - len(rs.entryHosts) - len(rs.disconnected); missing > 0 {
		share -= float64(missing) / float64(rs.expectedHosts)
	}
	perSecond := r.PerSecond * share
	if rs.standby {
		perSecond = max(perSecond, min(r.PerSecond, rs.reportedRateSums[w]))
	}
	for _, d := range rs.disconnected {
		perSecond -= d.admitted[w]
	}
	r.PerSecond = max(0, perSecond)
	return r
}
