package slots

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// departedMemory is how long a server is remembered that is no longer listed. A placer without the store loses its role sooner.
const departedMemory = 10 * time.Second

// listedServers is this host's own list of the servers. It may be newer than the placer's, which may have lost the store.
type listedServers struct {
	all      map[ids.BackendID]directory.Server
	departed map[ids.BackendID]departedServer
}

type departedServer struct {
	incarnation directory.Incarnation
	at          time.Time
}

func newListedServers() *listedServers {
	return &listedServers{departed: make(map[ids.BackendID]departedServer)}
}

// set replaces the list.
func (l *listedServers) set(now time.Time, all map[ids.BackendID]directory.Server) {
	for id, s := range l.all {
		if _, ok := all[id]; !ok {
			l.departed[id] = departedServer{incarnation: s.Incarnation, at: now}
		}
	}
	for id, d := range l.departed {
		if _, ok := all[id]; ok || now.Sub(d.at) > departedMemory {
			delete(l.departed, id)
		}
	}
	l.all = all
}

// hasLeft reports whether a server that a placer grants is listed as draining, or isn't listed any more.
func (l *listedServers) hasLeft(granted directory.Server) bool {
	if s, ok := l.all[granted.ID]; ok {
		return s.Draining && s.Incarnation >= granted.Incarnation
	}
	d, ok := l.departed[granted.ID]
	return ok && d.incarnation >= granted.Incarnation
}

// ofZone returns the servers of the same service in the same zone, the given one first.
func (l *listedServers) ofZone(s directory.Server) []ids.BackendID {
	same := []ids.BackendID{s.ID}
	for id, o := range l.all {
		if id != s.ID && o.Service == s.Service && o.Zone == s.Zone {
			same = append(same, id)
		}
	}
	return same
}
