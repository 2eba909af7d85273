package origin

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// ObserveServers drops the records of servers that started again as another software version, if the new start may have
// brought the first event: its entry follows a little later than its first answers, or after an outage of the store. Where no
// list may have shown the new start, since the server has left, the records become unconfirmed. currentFor is for how long the
// list has been current.
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
			switch {
			case restartedAsOther && age < sinceRestart:
				delete(g.records, stream)
			case removed[e.server.id] && !e.settled && age < sinceRemoval:
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
