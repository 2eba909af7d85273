package soak

import (
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbena/objects/memory"
	"verbenaledge.example/verbenalab/internal/relay"
)

// FaultKind names a kind of fault.
type FaultKind string

// fault starts and ends a kind of fault at one of targetCount targets.
type fault struct {
	targetCount int
	begin, end  func(e *Environment, target int)
}

const (
	// slowLinkDelay is the delay of each chunk of data on a slow connection.
	slowLinkDelay = 120 * time.Millisecond
	// faultPeriod is the number of requests to a faulty server, or of calls of a faulty store, of which one fails.
	faultPeriod = 2
)

// noop is the end of a fault that is over at once.
func noop(*Environment, int) {}

var baseFaults = map[FaultKind]fault{
	"kill":   {hostCount, func(e *Environment, n int) { e.hosts[n].kill() }, func(e *Environment, n int) { e.hosts[n].ensureRunning() }},
	"stop":   {hostCount, func(e *Environment, n int) { e.hosts[n].stop() }, func(e *Environment, n int) { e.hosts[n].ensureRunning() }},
	"pause":  {hostCount, func(e *Environment, n int) { e.hosts[n].signal(syscall.SIGSTOP) }, func(e *Environment, n int) { e.hosts[n].signal(syscall.SIGCONT) }},
	"reload": {hostCount, func(e *Environment, n int) { e.hosts[n].reload() }, noop},

	"peers_silent":  losingRelay(peerRelay, relay.DropAll),
	"peers_deaf":    losingRelay(peerRelay, relay.DropToTarget),
	"peers_mute":    losingRelay(peerRelay, relay.DropFromTarget),
	"peers_slow":    slowRelay(hostCount, peerRelay),
	"peers_reset":   resetConnections(hostCount, peerRelay),
	"store_silent":  losingRelay(storeRelay, relay.DropAll),
	"store_deaf":    losingRelay(storeRelay, relay.DropToTarget),
	"store_mute":    losingRelay(storeRelay, relay.DropFromTarget),
	"store_slow":    slowRelay(hostCount, storeRelay),
	"store_reset":   resetConnections(hostCount, storeRelay),
	"callers_slow":  slowRelay(entryHosts, callerRelay),
	"callers_reset": resetConnections(entryHosts, callerRelay),
	"server_silent": losingRelay(serverRelay, relay.DropAll),
	"server_deaf":   losingRelay(serverRelay, relay.DropToTarget),
	"server_mute":   losingRelay(serverRelay, relay.DropFromTarget),
	"server_slow":   slowRelay(serverCount, serverRelay),
	"server_reset":  resetConnections(serverCount, serverRelay),

	"store_refuses":       storeFault(memory.Refuse, 1),
	"store_loses_answers": storeFault(memory.LoseAnswer, faultPeriod),
	"store_loses_calls":   storeFault(memory.LoseCall, faultPeriod),
	"store_forgets":       {1, func(e *Environment, _ int) { e.store.Compact() }, noop},

	"server_breaks":  serverFault(standin.CloseWithoutAnswer),
	"server_cuts":    serverFault(standin.CutAnswer),
	"server_foreign": serverFault(standin.ForeignAnswer),
	"server_full":    serverFault(standin.NotExecuted),
	"server_hangs":   serverFault(standin.NoAnswer),
	"server_stalls":  serverFault(standin.Stall),
	"server_leaves": {
		serverCount, func(e *Environment, n int) { e.registerServer(n, "draining") }, func(e *Environment, n int) { e.registerServer(n, "ready") },
	},

	"configuration": {1, func(e *Environment, _ int) { e.writeConfiguration(false) }, noop},
	"key_withdrawn": {1, func(e *Environment, _ int) { e.writeConfiguration(true) }, noop},
}

// FaultKinds returns all kinds in a stable order.
func FaultKinds() (list []FaultKind) {
	for _, m := range []map[FaultKind]fault{baseFaults, laterFaults, drainFaults, crashFaults, resumeFaults, versionFaults, limitFaults, cutFaults, zoneFaults} {
		list = append(list, sortedKinds(m)...)
	}
	return list
}

// fault returns the implementation of a kind.
func (k FaultKind) fault() fault {
	for _, m := range []map[FaultKind]fault{laterFaults, drainFaults, crashFaults, resumeFaults, versionFaults, limitFaults, cutFaults, zoneFaults} {
		if f, ok := m[k]; ok {
			return f
		}
	}
	return baseFaults[k]
}

func sortedKinds(faults map[FaultKind]fault) (list []FaultKind) {
	for k := range faults {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// relayTargets is a number of targets that is valid for hosts and for servers; each of them has a relay.
const relayTargets = min(hostCount, serverCount)

// relayOf returns a relay of the n-th host or server.
type relayOf func(e *Environment, n int) *relay.TCP

func peerRelay(e *Environment, n int) *relay.TCP   { return e.hosts[n].peerRelay }
func storeRelay(e *Environment, n int) *relay.TCP  { return e.hosts[n].storeRelay }
func callerRelay(e *Environment, n int) *relay.TCP { return e.hosts[n].callerRelay }
func serverRelay(e *Environment, n int) *relay.TCP { return e.servers[n].relay }

func losingRelay(find relayOf, mode relay.Mode) fault {
	return fault{relayTargets, func(e *Environment, n int) { find(e, n).SetMode(mode) }, func(e *Environment, n int) { find(e, n).Restore() }}
}

func slowRelay(targets int, find relayOf) fault {
	return fault{targets, func(e *Environment, n int) { find(e, n).SetDelay(slowLinkDelay) }, func(e *Environment, n int) { find(e, n).SetDelay(0) }}
}

func resetConnections(targets int, find relayOf) fault {
	return fault{targets, func(e *Environment, n int) { find(e, n).ResetConnections() }, noop}
}

// storeFault makes every period-th call of the store fail.
func storeFault(f memory.Fault, period int64) fault {
	return fault{1, func(e *Environment, _ int) {
		var n atomic.Int64
		e.store.SetFault(func(memory.Op) memory.Fault {
			if n.Add(1)%period == 0 {
				return f
			}
			return memory.None
		})
	}, func(e *Environment, _ int) { e.store.SetFault(nil) }}
}

// serverFault makes every faultPeriod-th request to a server fail.
func serverFault(f standin.ServerFault) fault {
	return fault{serverCount, func(e *Environment, target int) {
		var n atomic.Int64
		e.servers[target].server.SetFault(func(*http.Request) standin.ServerFault {
			if n.Add(1)%faultPeriod == 0 {
				return f
			}
			return standin.NoFault
		})
	}, func(e *Environment, target int) { e.servers[target].server.SetFault(nil) }}
}
