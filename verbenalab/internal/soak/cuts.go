package soak

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenaledge.example/verbenalab/internal/relay"
)

const (
	// cutFaultInterval is the mean time between the starts of cutFaults.
	cutFaultInterval = 5 * time.Second
	// contactTime is the time from the start of a cut until callers of the hosts must be served again. Planned cuts last
	// longer by it than other faults.
	contactTime = 3 * time.Second
	// finalCutTime is the duration of the cut after recovery.
	finalCutTime = contactTime + 5*time.Second + answerTime
	// firstTryInterval is the time between two requests to each entry host during the cut after recovery. Together they stay
	// within the workspace's rate.
	firstTryInterval = 125 * time.Millisecond
	// cutTargets is the number of targets of a cutFault: one entry host, or one and a storage host.
	cutTargets = 2 * entryHosts
)

// cutFaults separate hosts from all servers, while callers, the store and other hosts still reach them. They are drawn by a
// random generator of their own, for the same reason as laterFaults.
var cutFaults = map[FaultKind]fault{
	"cut_silent":  cutFault("cut_silent", relay.Silence, relay.Silence),
	"cut_reset":   cutFault("cut_reset", relay.Reset, relay.Silence),
	"cut_refused": cutFault("cut_refused", relay.Reset, relay.Reset),
	"cut_alive":   cutFault("cut_alive", relay.Continue, relay.Reset),
}

// CutPeriod is a time during which an entry host was cut off from all servers.
type CutPeriod struct {
	Kind     FaultKind
	Host     string
	From, To time.Time
}

// cutInForce is a cut that has not ended.
type cutInForce struct {
	kind   FaultKind
	target int
	cut    *relay.Cut
	began  time.Time
}

func cutFault(kind FaultKind, open, later relay.Fate) fault {
	return fault{cutTargets, func(e *Environment, target int) {
		hosts := cutHosts(e, target)
		c := &relay.Cut{Open: open, New: later, Applies: func(fromClient net.Conn) bool {
			for _, h := range hosts {
				if h.hasConnection(fromClient) {
					return true
				}
			}
			return false
		}}
		e.mu.Lock()
		e.cutsInForce = append(e.cutsInForce, cutInForce{kind, target, c, time.Now()})
		e.mu.Unlock()
		var all sync.WaitGroup
		for _, s := range e.servers {
			all.Go(func() { s.relay.BeginCut(c) })
		}
		all.Wait()
	}, func(e *Environment, target int) {
		c := e.takeCut(kind, target)
		for _, s := range e.servers {
			s.relay.EndCut(c.cut)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.cutPeriods = append(e.cutPeriods, CutPeriod{kind, e.hosts[target%entryHosts].name, c.began, time.Now()})
	}}
}

// cutHosts returns the hosts that a target of a cutFault stands for.
func cutHosts(e *Environment, target int) (hosts []*host) {
	hosts = []*host{e.hosts[target%entryHosts]}
	if target >= entryHosts {
		hosts = append(hosts, e.hosts[target])
	}
	return hosts
}

// takeCut removes the first cut in force with this kind and target.
func (e *Environment) takeCut(kind FaultKind, target int) (c cutInForce) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, c := range e.cutsInForce {
		if c.kind == kind && c.target == target {
			e.cutsInForce = append(e.cutsInForce[:n:n], e.cutsInForce[n+1:]...)
			return c
		}
	}
	return cutInForce{cut: &relay.Cut{}, began: time.Now()} // a fault ends only after it began
}

// hasConnection reports whether the other end of a connection belongs to the host's process.
func (h *host) hasConnection(accepted net.Conn) bool {
	p := h.current.Load()
	if p == nil {
		return false
	}
	has, err := p.HasConnection(accepted.RemoteAddr(), accepted.LocalAddr())
	if err != nil {
		h.env.addViolation("soak", h.name, err.Error())
	}
	return has
}

// finalCut draws the cut after recovery.
func finalCut(seed uint64) PlannedFault {
	r := rand.New(rand.NewPCG(seed, ^bits.Reverse64(seed)))
	kinds := sortedKinds(cutFaults)
	return PlannedFault{Kind: kinds[r.IntN(len(kinds))], Target: r.IntN(cutTargets), Duration: finalCutTime}
}

// measureCut cuts hosts off while callers of all entry hosts send requests at a constant rate, and waits until all are
// answered.
func (e *Environment) measureCut(ctx context.Context, c *Callers, f PlannedFault) {
	var callers sync.WaitGroup
	defer callers.Wait()
	f.Kind.fault().begin(e, f.Target)
	defer f.Kind.fault().end(e, f.Target)
	ticker := time.NewTicker(firstTryInterval)
	defer ticker.Stop()
	began := time.Now()
	for n := uint64(0); time.Since(began) < f.Duration && ctx.Err() == nil; n++ {
		for i, h := range e.hosts[:entryHosts] {
			callers.Go(func() {
				ca := &caller{
					group: c, neverAbandons: true, random: rand.New(rand.NewPCG(n, uint64(i))), client: &http.Client{Transport: &http.Transport{}},
				}
				defer ca.client.CloseIdleConnections()
				ca.requestTo(h, []Route{RouteApp, RouteResume, RouteStream}[n%3], keyWithinRate)
			})
		}
		<-ticker.C
	}
}
