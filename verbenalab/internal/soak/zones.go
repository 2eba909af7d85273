package soak

import (
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// usualZone is the availability zone of the hosts and of most servers, evacuatedZone that of the others.
	usualZone, evacuatedZone = "z", "y"
	// evacuationTimeout is how long after the operator's request servers of an evacuated zone may still get requests.
	evacuationTimeout = 3 * time.Second
	// zoneFaultInterval is the mean time between the starts of zoneFaults.
	zoneFaultInterval = 4 * time.Second
	// coldTime is how long a server says that it is cold.
	coldTime = 3 * time.Second
)

// zoneFaults are drawn by a random generator of their own, for the same reason as laterFaults.
var zoneFaults = map[FaultKind]fault{
	"zone_evacuated": {1, func(e *Environment, _ int) {
		e.retryWrite(func() error { return standin.Evacuate(e.store, evacuatedZone) })
	}, func(e *Environment, _ int) {
		e.retryWrite(func() error { return standin.EndEvacuation(e.store, evacuatedZone) })
	}},
	"server_turns_cold": {serverCount, func(e *Environment, n int) {
		e.servers[n].server.SetWarmup(coldTime)
		e.registerServer(n, "ready")
	}, func(e *Environment, n int) {
		e.servers[n].server.SetWarmup(0)
		e.registerServer(n, "ready")
	}},
}

// zoneOf returns the availability zone of a server: that of the last server of each service is evacuated at times.
func zoneOf(n int) string {
	if n == streamServers-1 || n == serverCount-1 {
		return evacuatedZone
	}
	return usualZone
}

// checkEvacuation checks that after recovery servers of an evacuated zone get nothing.
func checkEvacuation(ev *Evidence) (violations []Violation) {
	for _, r := range ev.ServerRuns {
		if ev.EvacuatedServers[r.Server] && !ev.EvacuatedAt.IsZero() && r.At.After(ev.EvacuatedAt.Add(evacuationTimeout)) {
			violations = append(violations, Violation{"evacuated", r.ID, r.Server + " received it while its zone was evacuated", r.At})
		}
	}
	return violations
}

// evacuate begins an evacuation that lasts to the end of the run.
func (e *Environment) evacuate(ev *Evidence) {
	ev.EvacuatedServers = make(map[string]bool)
	for n, s := range e.servers {
		if zoneOf(n) == evacuatedZone {
			ev.EvacuatedServers[s.server.ID] = true
		}
	}
	e.retryWrite(func() error { return standin.Evacuate(e.store, evacuatedZone) })
	ev.EvacuatedAt = time.Now()
}
