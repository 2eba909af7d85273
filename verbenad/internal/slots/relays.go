package slots

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

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
// Different hosts begin with different relays. The caller holds mu.
func (d *Dispatcher) relays(host ids.HostID, zone ids.ZoneID) (addresses []string) {
	if d.relayHosts == nil {
		d.relayHosts = relayHosts{}
		for name, m := range d.members {
			if m.relayAddress != "" && !m.cutOff && !m.leaving {
				d.relayHosts = append(d.relayHosts, relayHost{name: name, zone: m.zone, address: m.relayAddress})
			}
		}
		slices.SortFunc(d.relayHosts, func(a, b relayHost) int { return cmp.Compare(a.name, b.name) })
	}
	return d.relayHosts.choose(host, zone)
}

// choose returns up to maxRelays addresses.
func (r relayHosts) choose(host ids.HostID, zone ids.ZoneID) []string {
	var near, far []string
	for _, h := range r {
		switch {
		case h.name == host:
		case h.zone == zone:
			near = append(near, h.address)
		default:
			far = append(far, h.address)
		}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(host)) // never fails
	start := int(hash.Sum32() % math.MaxInt32)
	// Each list is rotated by itself: most places among all hosts lie before the same few hosts of a zone.
	addresses := rotated(near, start, maxRelays-1)
	return append(addresses, rotated(far, start, maxRelays-len(addresses))...)
}

// rotated returns up to limit elements of a list from a place on, as if the list were a circle.
func rotated(list []string, start, limit int) (elements []string) {
	for n := range min(limit, len(list)) {
		elements = append(elements, list[(start+n)%len(list)])
	}
	return elements
}
