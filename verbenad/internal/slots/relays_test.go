package slots

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
)

// TestRelaysAreSpread guards against a few hosts that relay for all: 234 of 390 hosts are cut off, those of three availability
// zones out of six among them.
func TestRelaysAreSpread(t *testing.T) {
	c := qt.New(t)
	var sound relayHosts
	var cutOff []relayHost
	for zone := range 6 {
		for n := range 65 {
			h := relayHost{name: ids.HostID(fmt.Sprintf("host-%d-%02d", zone, n)), zone: ids.ZoneID(fmt.Sprint(zone))}
			h.address = string(h.name)
			if zone < 3 || n < 13 {
				cutOff = append(cutOff, h)
			} else {
				sound = append(sound, h)
			}
		}
	}
	leaning := make(map[string]int)
	for _, h := range cutOff {
		relays := sound.choose(h.name, h.zone)
		c.Assert(relays, qt.HasLen, maxRelays)
		for _, r := range relays {
			leaning[r]++
		}
	}
	most := 0
	for _, n := range leaning {
		most = max(most, n)
	}
	mean := float64(len(cutOff)*maxRelays) / float64(len(sound))
	c.Check(float64(most) <= 4*mean, qt.IsTrue, qt.Commentf("%d hosts at one relay, %.1f on average", most, mean))
}

// TestRelaysOfZoneAreSpread guards against hosts that all lean on the same few of their zone: 60 in 100 of each zone are cut off,
// and the names of a zone's hosts follow one another.
func TestRelaysOfZoneAreSpread(t *testing.T) {
	c := qt.New(t)
	const zones, hosts, cutOff = 3, 130, 78
	var sound relayHosts
	for zone := range zones {
		for n := cutOff; n < hosts; n++ {
			name := fmt.Sprintf("host-%d-%03d", zone, n)
			sound = append(sound, relayHost{ids.HostID(name), ids.ZoneID(fmt.Sprint(zone)), name})
		}
	}
	leaning := make(map[string]int)
	for zone := range zones {
		for n := range cutOff {
			for _, r := range sound.choose(ids.HostID(fmt.Sprintf("host-%d-%03d", zone, n)), ids.ZoneID(fmt.Sprint(zone))) {
				leaning[r]++
			}
		}
	}
	most := 0
	for _, n := range leaning {
		most = max(most, n)
	}
	mean := float64(zones*cutOff*maxRelays) / float64(len(sound))
	c.Check(float64(most) <= 4*mean, qt.IsTrue, qt.Commentf("%d hosts at one relay, %.1f on average", most, mean))
}

// TestRelaysOfZoneComeFirst checks that a host gets relays of its own availability zone, and one of another zone in case its
// whole zone is lost; a host doesn't relay for itself.
func TestRelaysOfZoneComeFirst(t *testing.T) {
	hosts := relayHosts{{"a1", "a", "a1"}, {"a2", "a", "a2"}, {"a3", "a", "a3"}, {"a4", "a", "a4"}, {"a5", "a", "a5"}, {"b1", "b", "b1"}}
	got := hosts.choose("a1", "a")
	qt.Assert(t, got, qt.HasLen, maxRelays)
	qt.Check(t, got[maxRelays-1], qt.Equals, "b1")
	for _, r := range got {
		qt.Check(t, r, qt.Not(qt.Equals), "a1")
	}
	qt.Check(t, relayHosts{}.choose("a1", "a"), qt.HasLen, 0)
}
