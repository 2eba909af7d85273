package slots

import (
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/limit"
)

// knownLimits are the limits of servers that a host knows, from answers or from other hosts, and its recent sends to these
// servers.
type knownLimits struct {
	servers map[ids.BackendID]*knownLimit
}

type knownLimit struct {
	limit limit.Regulator
	// sends are by the address of the placer that granted them; it is empty for this host.
	sends map[string]*limit.RecentCount
}

func newKnownLimits() *knownLimits {
	return &knownLimits{servers: make(map[ids.BackendID]*knownLimit)}
}

// observe applies what an answer to a request says that held its slot since the given time. It reports whether the limit in
// force has changed.
func (k *knownLimits) observe(now, heldSince time.Time, id ids.BackendID, s limit.Statement) (changed bool) {
	return k.change(id, s, func(r *limit.Regulator) bool { return r.Observe(now, heldSince, s) })
}

// set applies what a placer says of a server's limit. It reports whether the limit in force has changed.
func (k *knownLimits) set(now time.Time, id ids.BackendID, s limit.Statement) (changed bool) {
	return k.change(id, s, func(r *limit.Regulator) bool { return r.Set(now, s) })
}

func (k *knownLimits) change(id ids.BackendID, s limit.Statement, apply func(*limit.Regulator) bool) (changed bool) {
	l, ok := k.servers[id]
	if !ok {
		if s.Kind != limit.Named {
			return false
		}
		l = &knownLimit{sends: make(map[string]*limit.RecentCount)}
		k.servers[id] = l
	}
	changed = apply(&l.limit)
	if !l.limit.IsLimited() {
		delete(k.servers, id)
	}
	return changed
}

// countSend counts a send to a server, if it has a limit, that a placer granted.
func (k *knownLimits) countSend(now time.Time, id ids.BackendID, placerAddress string) {
	l, ok := k.servers[id]
	if !ok {
		return
	}
	if l.sends[placerAddress] == nil {
		l.sends[placerAddress] = &limit.RecentCount{}
	}
	l.sends[placerAddress].Add(now, 1)
}

// report returns the limits in force, with the recent sends that another placer than the given one granted.
func (k *knownLimits) report(now time.Time, placerAddress string) (list []dispatch.ServerLimit) {
	for id, l := range k.servers {
		reported := dispatch.ServerLimit{Server: id, Statement: l.limit.Statement(), Age: l.limit.Age(now)}
		for address, sends := range l.sends {
			if address != placerAddress {
				reported.Sent += sends.Count(now)
			}
		}
		list = append(list, reported)
	}
	return list
}

// of returns the limit that a server names, as far as it is known.
func (k *knownLimits) of(id ids.BackendID) limit.Statement {
	if l, ok := k.servers[id]; ok {
		return l.limit.Statement()
	}
	return limit.Statement{}
}

// departedLimitMemory is how long the limit of a server is known that is no longer listed.
const departedLimitMemory = time.Minute

// removeDeparted removes the limits of servers that are no longer listed and were last named long ago.
func (k *knownLimits) removeDeparted(now time.Time, listed map[ids.BackendID]directory.Server) {
	for id, l := range k.servers {
		if _, ok := listed[id]; !ok && l.limit.Age(now) > departedLimitMemory {
			delete(k.servers, id)
		}
	}
}
