package directory

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Evacuation is an availability zone to whose servers nothing new is sent until the operator ends it.
type Evacuation struct {
	Zone ids.ZoneID
	// Revision is that of the operator's request.
	Revision uint64
	// LearnedAt is when this host learned of it.
	LearnedAt time.Time
}

// Evacuations is the set of evacuated availability zones. The zero value is empty.
type Evacuations struct {
	zones map[ids.ZoneID]Evacuation
}

// Set replaces the set. It returns the evacuations that have begun and those that have ended.
func (e *Evacuations) Set(now time.Time, requested map[ids.ZoneID]uint64) (begun, ended []Evacuation) {
	next := make(map[ids.ZoneID]Evacuation, len(requested))
	for zone, revision := range requested {
		evacuation, ok := e.zones[zone]
		if !ok {
			evacuation = Evacuation{Zone: zone, LearnedAt: now}
		}
		evacuation.Revision = revision
		next[zone] = evacuation
		if !ok {
			begun = append(begun, evacuation)
		}
	}
	for zone, evacuation := range e.zones {
		if _, ok := next[zone]; !ok {
			ended = append(ended, evacuation)
		}
	}
	e.zones = next
	return begun, ended
}

// Contains reports whether a zone is evacuated.
func (e *Evacuations) Contains(zone ids.ZoneID) bool {
	_, ok := e.zones[zone]
	return ok
}

// Count returns the number of evacuated zones.
func (e *Evacuations) Count() int { return len(e.zones) }

// Mark returns the list with the servers of evacuated zones marked. It doesn't change the given one.
func (e *Evacuations) Mark(listed map[ids.BackendID]Server) map[ids.BackendID]Server {
	if len(e.zones) == 0 {
		return listed
	}
	marked := make(map[ids.BackendID]Server, len(listed))
	for id, s := range listed {
		s.Evacuated = e.Contains(s.Zone)
		marked[id] = s
	}
	return marked
}
