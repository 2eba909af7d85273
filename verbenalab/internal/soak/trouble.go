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

// Kind names a kind of trouble.
type FaultKind string

// trouble is how a kind begins and ends, and among how many targets it chooses.
type trouble struct {
	targets    int
	begin, end func(t *Town, target int)
}

const (
	// slowBy is how much each piece is delayed on a slow link.
	slowBy = 120 * time.Millisecond
	// faultyShare is one in how many requests a faulty server harms, and calls a faulty store.
	faultyShare = 2
)

// none ends a trouble that is over at once.
func none(*Town, int) {}

var troubles = map[FaultKind]trouble{
	"kill":   {hosts, func(t *Town, n int) { t.hosts[n].kill() }, func(t *Town, n int) { t.hosts[n].ensure() }},
	"stop":   {hosts, func(t *Town, n int) { t.hosts[n].stop() }, func(t *Town, n int) { t.hosts[n].ensure() }},
	"pause":  {hosts, func(t *Town, n int) { t.hosts[n].signal(syscall.SIGSTOP) }, func(t *Town, n int) { t.hosts[n].signal(syscall.SIGCONT) }},
	"reload": {hosts, func(t *Town, n int) { t.hosts[n].signal(syscall.SIGHUP) }, none},

	"peers_silent":  onLink(peersOf, relay.DropAll),
	"peers_deaf":    onLink(peersOf, relay.DropToTarget),
	"peers_mute":    onLink(peersOf, relay.DropFromTarget),
	"peers_slow":    slow(hosts, peersOf),
	"peers_reset":   reset(hosts, peersOf),
	"store_silent":  onLink(storeOf, relay.DropAll),
	"store_deaf":    onLink(storeOf, relay.DropToTarget),
	"store_mute":    onLink(storeOf, relay.DropFromTarget),
	"store_slow":    slow(hosts, storeOf),
	"store_reset":   reset(hosts, storeOf),
	"callers_slow":  slow(fronts, callersOf),
	"callers_reset": reset(fronts, callersOf),
	"server_silent": onLink(serverOf, relay.DropAll),
	"server_deaf":   onLink(serverOf, relay.DropToTarget),
	"server_mute":   onLink(serverOf, relay.DropFromTarget),
	"server_slow":   slow(servers, serverOf),
	"server_reset":  reset(servers, serverOf),

	"store_refuses":       onStore(memory.Refuse, 1),
	"store_loses_answers": onStore(memory.LoseAnswer, faultyShare),
	"store_loses_calls":   onStore(memory.LoseCall, faultyShare),
	"store_forgets":       {1, func(t *Town, _ int) { t.store.Compact() }, none},

	"server_breaks":  onServer(standin.CloseWithoutAnswer),
	"server_cuts":    onServer(standin.CutAnswer),
	"server_foreign": onServer(standin.ForeignAnswer),
	"server_full":    onServer(standin.NotExecuted),
	"server_hangs":   onServer(standin.NoAnswer),
	"server_stalls":  onServer(standin.Stall),
	"server_leaves": {
		servers, func(t *Town, n int) { t.register(n, "draining") }, func(t *Town, n int) { t.register(n, "ready") },
	},

	"configuration": {1, func(t *Town, _ int) { t.configure(false) }, none},
	"key_withdrawn": {1, func(t *Town, _ int) { t.configure(true) }, none},
}

// Kinds returns all kinds in a stable order.
func FaultKinds() (list []FaultKind) {
	return append(append(kindsOf(troubles), kindsOf(laterTroubles)...), kindsOf(drainTroubles)...)
}

// of returns what a kind does.
func (k FaultKind) of() trouble {
	for _, kinds := range []map[FaultKind]trouble{laterTroubles, drainTroubles} {
		if d, ok := kinds[k]; ok {
			return d
		}
	}
	return troubles[k]
}

func kindsOf(from map[FaultKind]trouble) (list []FaultKind) {
	for k := range from {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// relayedTargets is the number of hosts and of servers, each of which has a relay before it.
const relayedTargets = min(hosts, servers)

// link finds one of the relays of a town.
type link func(t *Town, n int) *relay.TCP

func peersOf(t *Town, n int) *relay.TCP   { return t.hosts[n].peers }
func storeOf(t *Town, n int) *relay.TCP   { return t.hosts[n].storeLink }
func callersOf(t *Town, n int) *relay.TCP { return t.hosts[n].callers }
func serverOf(t *Town, n int) *relay.TCP  { return t.servers[n].link }

func onLink(l link, m relay.Mode) trouble {
	return trouble{relayedTargets, func(t *Town, n int) { l(t, n).SetMode(m) }, func(t *Town, n int) { l(t, n).Restore() }}
}

func slow(targets int, l link) trouble {
	return trouble{targets, func(t *Town, n int) { l(t, n).SetDelay(slowBy) }, func(t *Town, n int) { l(t, n).SetDelay(0) }}
}

func reset(targets int, l link) trouble {
	return trouble{targets, func(t *Town, n int) { l(t, n).ResetConnections() }, none}
}

// onStore harms one in so many calls of the store.
func onStore(f memory.Fault, share int64) trouble {
	return trouble{1, func(t *Town, _ int) {
		var n atomic.Int64
		t.store.SetFault(func(memory.Op) memory.Fault {
			if n.Add(1)%share == 0 {
				return f
			}
			return memory.None
		})
	}, func(t *Town, _ int) { t.store.SetFault(nil) }}
}

// onServer harms one in so many requests of a server.
func onServer(f standin.ServerFault) trouble {
	return trouble{servers, func(t *Town, target int) {
		var n atomic.Int64
		t.servers[target].server.SetFault(func(*http.Request) standin.ServerFault {
			if n.Add(1)%faultyShare == 0 {
				return f
			}
			return standin.NoFault
		})
	}, func(t *Town, target int) { t.servers[target].server.SetFault(nil) }}
}
