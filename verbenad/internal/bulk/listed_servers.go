package bulk

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
)

// listedServers is the last list of servers.
type listedServers struct {
	servers map[ids.BackendID]directory.Server
	// left are the starts that were listed last of servers that have left within the retention time.
	left map[ids.BackendID]leftServer
}

// leftServer is the last listed start of a server that isn't listed.
type leftServer struct {
	start serverStart
	at    time.Time
}

// next returns the list that follows.
func (l *listedServers) next(now time.Time, servers map[ids.BackendID]directory.Server) *listedServers {
	n := &listedServers{servers: servers, left: make(map[ids.BackendID]leftServer)}
	if l == nil {
		return n
	}
	for id, s := range l.left {
		if _, ok := servers[id]; !ok && now.Sub(s.at) < origin.Retention {
			n.left[id] = s
		}
	}
	for id, s := range l.servers {
		if _, ok := servers[id]; !ok {
			n.left[id] = leftServer{start: startOf(s), at: now}
		}
	}
	return n
}

// SetServers sets the servers that are listed now. The map must not change afterwards.
func (o *Owner) SetServers(servers map[ids.BackendID]directory.Server) {
	o.servers.Store(o.servers.Load().next(o.clock.Now(), servers))
}

// listedServer returns a server's entry in the last list.
func (o *Owner) listedServer(id ids.BackendID) (s directory.Server, ok bool) {
	if l := o.servers.Load(); l != nil {
		s, ok = l.servers[id]
	}
	return s, ok
}

// hasLeft reports whether a start of a server was the last one that the list showed before the server left, less than the
// retention time ago. A later start that left, too, may never have been listed.
func (o *Owner) hasLeft(start serverStart) bool {
	l := o.servers.Load()
	if l == nil {
		return false
	}
	s, ok := l.left[start.id]
	return ok && s.start == start
}
