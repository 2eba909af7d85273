package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// keptConnectionsRate is a rate limit far above the rate of these callers.
	keptConnectionsRate = 100_000
	// keptConnectionsSlots lets each server run all requests at once.
	keptConnectionsSlots = 1000
	// minServiceTime and maxServiceTime limit how long a request runs.
	minServiceTime = 2 * time.Millisecond
	maxServiceTime = 10 * time.Millisecond
	// slowServiceTime is how long slow requests run, and keptConnectionsObjective an objective by which that is no silence.
	slowServiceTime          = 3 * time.Second
	keptConnectionsObjective = 4 * time.Second
)

// MeasureKeptConnections runs the programs while an entry host is stopped in order several times, and callers use connections
// that the host may be closing.
func MeasureKeptConnections(ctx context.Context, o Options, p KeptConnectionsPlan) (r KeptConnectionsReport, err error) {
	o.Rate, o.objective, r.Refused = keptConnectionsRate, keptConnectionsObjective, make(map[int]int)
	e, err := NewEnvironment(o)
	if err != nil {
		return r, err
	}
	defer func() { _ = e.Close() }() // what fails to stop ends with this process
	for n, s := range e.servers {
		s.server.Slots = keptConnectionsSlots
		s.server.SetFault(delayAnswer)
		e.registerServer(n, "ready")
	}
	t := &keptConnectionsTrial{env: e, host: e.hosts[0], plan: p, random: rand.New(rand.NewPCG(o.Seed, 0))}
	callers := &Callers{env: e}
	for n := range p.Stops {
		if !e.eventually(ctx, startTimeout, "start", "every host serves", callers.allServing) {
			return r, fmt.Errorf("hosts don't serve within %s before stop %d", startTimeout, n)
		}
		if err := t.stopHost(n); err != nil {
			return r, err
		}
	}
	for _, c := range t.calls {
		r.add(c, e.ran(c.ID))
	}
	r.addReasons(e.reasons())
	return r, ctx.Err()
}

// delayAnswer makes a server take its time. It injects no fault.
func delayAnswer(r *http.Request) standin.ServerFault {
	if strings.HasPrefix(r.Header.Get(standin.HeaderRequestID), slowPrefix) {
		time.Sleep(slowServiceTime)
		return standin.NoFault
	}
	time.Sleep(minServiceTime + rand.N(maxServiceTime-minServiceTime))
	return standin.NoFault
}
