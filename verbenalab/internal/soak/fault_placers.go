package soak

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/ownership"
	"verbenaledge.example/verbenalab/internal/relay"
)

const (
	// standbyFaultDelay is the time between the faults of the dispatcher and of its standby. By then hosts have switched
	// to the standby.
	standbyFaultDelay = 300 * time.Millisecond
	// placerTargets is the number of targets of a placerFault: target 0 is the dispatcher, target 1 the dispatcher followed
	// by its standby.
	placerTargets = 2
)

// placerFault injects a fault into the dispatcher, and for target 1 also into its standby after standbyFaultDelay.
func placerFault(inject, repair func(*host)) fault {
	return fault{placerTargets, func(e *Environment, target int) {
		dispatcher, standby := e.placers()
		if dispatcher != nil {
			inject(dispatcher)
		}
		if target > 0 && standby != nil {
			time.AfterFunc(standbyFaultDelay, func() { inject(standby) })
		}
	}, func(e *Environment, _ int) {
		for _, h := range e.hosts[entryHosts:] {
			repair(h)
		}
	}}
}

// placers returns the dispatcher and its standby according to the owner map in the store.
func (e *Environment) placers() (dispatcher, standby *host) {
	o, err := e.store.Get(context.Background(), "verbena-owners", "map")
	if err != nil {
		return nil, nil // the store has a fault, too
	}
	var m ownership.Map
	if err := json.Unmarshal(o.Spec, &m); err != nil {
		return nil, nil // no host can read it either, so the checks fail
	}
	return e.hostByName(m.Units[ownership.Dispatch].Host), e.hostByName(m.Standby.Host)
}

func (e *Environment) hostByName(name ids.HostID) *host {
	for _, h := range e.hosts {
		if h.name == string(name) {
			return h
		}
	}
	return nil
}

func disconnect(h *host) {
	h.peerRelay.SetMode(relay.DropAll)
	h.storeRelay.SetMode(relay.DropAll)
}

func reconnect(h *host) {
	h.peerRelay.Restore()
	h.storeRelay.Restore()
}

// laterFaults are drawn by a random generator of their own, so that seeds from before they were added still give the
// same baseFaults.
var laterFaults = map[FaultKind]fault{
	"seats_killed": placerFault(func(h *host) { h.kill() }, func(h *host) { h.ensureRunning() }),
	"seats_paused": placerFault(func(h *host) { h.signal(syscall.SIGSTOP) }, func(h *host) { h.signal(syscall.SIGCONT) }),
	"seats_cut":    placerFault(disconnect, reconnect),

	"server_comments":      serverFault(standin.StallWithComments),
	"server_slow_stream":   serverFault(standin.SlowStream),
	"server_endless_head":  serverFault(standin.EndlessHead),
	"server_endless_event": serverFault(standin.EndlessEvent),
}
