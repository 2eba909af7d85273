package origin

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// ObserveServers marks the records as unconfirmed of which another start of their server may have brought the first event, as
// another software version. The entry of such a start follows its first answers a little later, or after an outage of the
// store; no list shows it if the server leaves before the next one. currentFor is for how long the list has been current.
func (rs *Records) ObserveServers(now time.Time, servers map[ids.BackendID]directory.Server, currentFor time.Duration) {
	restarted, removed := rs.setListed(now, servers)
	if !restarted && len(removed) == 0 {
		return
	}
	sinceRestart, sinceRemoval := entryLag, returnTime
	if currentFor < returnTime {
		sinceRestart, sinceRemoval = 2*Retention, 2*Retention
	}
	for _, g := range []*generation{rs.current, rs.previous} {
		for stream, e := range g.records {
			s, listed := servers[e.server.id]
			restartedAsOther := listed && e.server.incarnation != s.Incarnation && e.origin.Version != s.SoftwareVersion
			age := rs.since(now, e)
			if restartedAsOther && age < sinceRestart || removed[e.server.id] && !e.settled && age < sinceRemoval {
				e.unconfirmed = true
				g.records[stream] = e
			}
		}
	}
}

// setListed sets the servers last listed. It returns whether one has started again, and the servers that were removed.
func (rs *Records) setListed(now time.Time, servers map[ids.BackendID]directory.Server) (restarted bool, removed map[ids.BackendID]bool) {
	listed := make(map[ids.BackendID]listedStart, len(servers))
	for id, s := range servers {
		listed[id] = listedStart{incarnation: s.Incarnation, version: s.SoftwareVersion}
		if before, ok := rs.listed[id]; ok && before.incarnation != s.Incarnation {
			restarted = true
		}
	}
	removed = make(map[ids.BackendID]bool)
	for id, s := range rs.listed {
		if _, ok := listed[id]; ok {
			continue
		}
		if s.removedAt.IsZero() {
			s.removedAt = now
			removed[id] = true
		}
		if now.Sub(s.removedAt) < 2*Retention {
			listed[id] = s
		}
	}
	rs.listed = listed
	return restarted, removed
}
