package ownership

import (
	"sort"

	"verbenaledge.example/verbena/ids"
)

// Plan returns the map that should replace the current one, and whether it differs. Only the first live host by
// name plans; the next one takes over when its lease is gone. A leaving host keeps its units until it hands them
// over itself: no other host knows when it has stopped acting for them.
func (w *Watcher) Plan(current Map) (next Map, changed bool) {
	hosts := w.candidates()
	if len(hosts) == 0 || w.firstHost() != w.self {
		return current, false
	}
	next = Map{Units: make(map[Unit]Owner, len(w.units)), Generation: current.Generation}
	count := make(map[ids.HostID]int, len(hosts))
	for _, u := range w.units {
		o, ok := current.Units[u]
		if l, live := w.observed[o.Host]; ok && live {
			next.Units[u] = Owner{Host: o.Host, Address: l.Lease.Address, Epoch: o.Epoch}
			count[o.Host]++
		}
	}
	for _, u := range w.units {
		if _, ok := next.Units[u]; !ok {
			next.Units[u] = w.assign(u, current, hosts, count)
		}
	}
	next.Standby = w.standby(current, next, hosts, count)
	return next, !equal(current, next)
}

// HandOver returns a map that gives this host's units to others, and whether it differs from the current one.
// The host must stop acting for its units before it writes this map.
func (w *Watcher) HandOver(current Map) (next Map, changed bool) {
	var hosts []ids.HostID
	for _, h := range w.candidates() {
		if h != w.self {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return current, false
	}
	count := make(map[ids.HostID]int, len(hosts))
	for _, o := range current.Units {
		count[o.Host]++
	}
	next = Map{Units: make(map[Unit]Owner, len(current.Units)), Standby: current.Standby, Generation: current.Generation}
	for _, u := range w.units {
		o, ok := current.Units[u]
		if ok && o.Host == w.self {
			o = w.assign(u, current, hosts, count)
			changed = true
		}
		if ok {
			next.Units[u] = o
		}
	}
	if changed || current.Standby.Host == w.self {
		next.Standby = w.standby(current, next, hosts, count)
	}
	return next, !equal(current, next)
}

// assign gives a unit to the host with the fewest units. Dispatch goes to the standby if there is one: hosts are
// connected to it already, and those that could not reach the former dispatcher use it already.
func (w *Watcher) assign(u Unit, current Map, hosts []ids.HostID, count map[ids.HostID]int) Owner {
	host := leastLoaded(hosts, count)
	if u == Dispatch && contains(hosts, current.Standby.Host) {
		host = current.Standby.Host
	}
	count[host]++
	return Owner{Host: host, Address: w.observed[host].Lease.Address, Epoch: current.Units[u].Epoch + 1}
}

// standby keeps the current standby or chooses a new one, if possible in another availability zone than the
// dispatcher. It returns an empty owner if the dispatcher is the only host.
func (w *Watcher) standby(current, next Map, hosts []ids.HostID, count map[ids.HostID]int) (o Owner) {
	dispatcher, ok := next.Units[Dispatch]
	if !ok {
		return Owner{}
	}
	host := current.Standby.Host
	if host == dispatcher.Host || !contains(hosts, host) {
		host = w.chooseStandby(dispatcher.Host, hosts, count)
	}
	if host == "" {
		return Owner{}
	}
	o = Owner{Host: host, Address: w.observed[host].Lease.Address, Epoch: current.Standby.Epoch}
	if host != current.Standby.Host {
		o.Epoch++
	}
	return o
}

func (w *Watcher) chooseStandby(dispatcher ids.HostID, hosts []ids.HostID, count map[ids.HostID]int) (best ids.HostID) {
	zone := w.observed[dispatcher].Lease.Zone
	bestInOtherZone := false
	for _, h := range hosts {
		if h == dispatcher {
			continue
		}
		inOtherZone := w.observed[h].Lease.Zone != zone
		if best == "" || inOtherZone && !bestInOtherZone || inOtherZone == bestInOtherZone && count[h] < count[best] {
			best, bestInOtherZone = h, inOtherZone
		}
	}
	return best
}

// firstHost returns the first live host by name.
func (w *Watcher) firstHost() (host ids.HostID) {
	for h := range w.observed {
		if host == "" || h < host {
			host = h
		}
	}
	return host
}

func (w *Watcher) candidates() (hosts []ids.HostID) {
	for h, l := range w.observed {
		if !l.Lease.Leaving {
			hosts = append(hosts, h)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i] < hosts[j] })
	return hosts
}

func leastLoaded(hosts []ids.HostID, count map[ids.HostID]int) (best ids.HostID) {
	best = hosts[0]
	for _, h := range hosts {
		if count[h] < count[best] {
			best = h
		}
	}
	return best
}

func contains(hosts []ids.HostID, host ids.HostID) bool {
	for _, h := range hosts {
		if h == host {
			return true
		}
	}
	return false
}

func equal(a, b Map) bool {
	if len(a.Units) != len(b.Units) || a.Standby != b.Standby {
		return false
	}
	for u, o := range a.Units {
		if b.Units[u] != o {
			return false
		}
	}
	return true
}
