package slots

import (
	"cmp"
	"math"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// maxRelays bounds the relay addresses that a host is sent.
const maxRelays = 4

var cutOffReports = metrics.NewCounter("verbenad_dispatcher_hosts_cut_off_total")

// relayHosts are the hosts that relay connections, ordered by name.
type relayHosts []relayHost

type relayHost struct {
	name    ids.HostID
	zone    ids.ZoneID
	address string
	// capacity is the host's share of a processor.
	capacity float64
}

// setCutOff records whether a host reaches no backend server directly.
func (d *Dispatcher) setCutOff(host ids.HostID, cutOff bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[host]
	if m == nil || m.cutOff == cutOff {
		return
	}
	m.cutOff, d.relayHosts = cutOff, nil
	n := 0
	for _, o := range d.members {
		if o.cutOff {
			n++
		}
	}
	if cutOff {
		cutOffReports.Inc()
	}
	log.WithFields(log.Fields{"peer": host, "cut_off": cutOff, "hosts_cut_off": n, "hosts": len(d.members)}).Info("host reports whether it reaches servers")
}

// relays returns the addresses of hosts that may relay the connections of one host, those of its availability zone first.
// Hosts are spread over the relays by the relays' capacities. The caller holds mu.
func (d *Dispatcher) relays(host ids.HostID, zone ids.ZoneID) (addresses []string) {
	if d.relayHosts == nil {
		d.relayHosts = relayHosts{}
		for name, m := range d.members {
			if m.relayAddress != "" && !m.cutOff && !m.leaving {
				d.relayHosts = append(d.relayHosts, relayHost{name: name, zone: m.zone, address: m.relayAddress, capacity: m.capacity})
			}
		}
		slices.SortFunc(d.relayHosts, func(a, b relayHost) int { return cmp.Compare(a.name, b.name) })
	}
	return d.relayHosts.choose(host, zone)
}

// choose returns up to maxRelays addresses.
func (r relayHosts) choose(host ids.HostID, zone ids.ZoneID) []string {
	var near, far []rankedRelay
	for _, h := range r {
		switch {
		case h.name == host:
		case h.zone == zone:
			near = append(near, h.rankFor(host))
		default:
			far = append(far, h.rankFor(host))
		}
	}
	addresses := firstRelays(near, maxRelays-1)
	return append(addresses, firstRelays(far, maxRelays-len(addresses))...)
}

// defaultCapacity is that of a host which doesn't state its own.
const defaultCapacity = 0.5

// rankedRelay is a relay with its rank for one host; the lowest comes first.
type rankedRelay struct {
	address string
	rank    float64
}

// rankFor returns the relay's rank for a host, by weighted rendezvous hashing: among all hosts, relays come first in proportion to
// their capacities, and a change of the relays changes the order of no others.
func (h relayHost) rankFor(host ids.HostID) rankedRelay {
	capacity := h.capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	uniform := (float64(xxhash.Sum64String(string(host)+"\x00"+string(h.name))>>hashShift) + 0.5) / hashRange
	return rankedRelay{address: h.address, rank: -math.Log(uniform) / capacity}
}

// A hash is taken as a number between 0 and 1 by its upper bits, as many as a float64 holds exactly.
const (
	hashShift = 64 - 53
	hashRange = 1 << 53
)

// firstRelays returns the addresses of up to limit relays of the lowest ranks.
func firstRelays(all []rankedRelay, limit int) (addresses []string) {
	slices.SortFunc(all, func(a, b rankedRelay) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range all[:min(limit, len(all))] {
		addresses = append(addresses, r.address)
	}
	return addresses
}
