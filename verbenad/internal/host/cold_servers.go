package host

import (
	"github.com/apex/log"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// coldChange counts the servers of a service in a zone that became cold, or warm, in one change of the list.
type coldChange struct {
	service ids.ServiceName
	zone    ids.ZoneID
	cold    bool
}

// logColdServers logs a line for each service and zone whose servers became cold or warm by their entries.
func logColdServers(old, now map[ids.BackendID]directory.Server, revision objects.Revision) {
	counts := make(map[coldChange]int)
	example := make(map[coldChange]directory.Server)
	for id, s := range now {
		was := old[id].WarmupRemaining > 0
		if cold := s.WarmupRemaining > 0; cold != was {
			change := coldChange{s.Service, s.Zone, cold}
			counts[change]++
			example[change] = s
		}
	}
	for change, n := range counts {
		text := "servers are warm"
		if change.cold {
			text = "servers are cold"
		}
		log.WithFields(log.Fields{
			"service": change.service, "zone": change.zone, "servers": n, "server": example[change].ID,
			"cold_ms": example[change].WarmupRemaining.Milliseconds(), "revision": revision,
		}).Info(text)
	}
}
