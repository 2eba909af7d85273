package soak

import (
	"fmt"
	"time"

	"verbenaledge.example/verbena/objects/memory"
)

// drainTroubles are drawn beside the others by a generator of their own, as the later ones.
var drainTroubles = map[FaultKind]trouble{
	"server_says_it_leaves": {servers, func(t *Town, n int) {
		t.servers[n].server.SetDraining(true)
	}, func(t *Town, n int) {
		t.servers[n].server.Restart(time.Now())
		t.register(n, "ready")
	}},
	"server_says_it_leaves_in_outage": {servers, func(t *Town, n int) {
		onStore(memory.Refuse, 1).begin(t, 0)
		t.servers[n].server.SetDraining(true)
	}, func(t *Town, n int) {
		onStore(memory.Refuse, 1).end(t, 0)
		t.servers[n].server.Restart(time.Now())
		t.register(n, "ready")
	}},
}

// drainBound is how long after a host has passed on that a server leaves a request may still reach it from there.
const drainBound = 2 * time.Second

// notice is what a host's process has passed on: a server leaves, for the so-manieth time.
type notice struct {
	life, server string
	drain        int
}

// checkDrains: a host that has passed on an answer of a server that leaves sends it nothing that a caller sends later.
func checkDrains(e *Evidence) (broken []Violation) {
	runs := make(map[string][]ServerRun)
	for _, r := range e.Runs {
		if r.DrainCount > 0 {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	passed := make(map[notice]time.Time)
	for _, c := range e.Calls {
		// A request that was sent to several servers doesn't tell which one its answer is from.
		if c.Draining && c.Life != "" && len(runs[c.ID]) == 1 {
			r := runs[c.ID][0]
			k := notice{c.Life, r.Server, r.DrainCount}
			if at, ok := passed[k]; !ok || c.Ended.Before(at) {
				passed[k] = c.Ended
			}
		}
	}
	for _, c := range e.Calls {
		for _, r := range runs[c.ID] {
			if at, ok := passed[notice{c.Life, r.Server, r.DrainCount}]; ok && c.Sent.After(at.Add(drainBound)) {
				what := fmt.Sprintf("%s sent it to %s, %s after it had passed on that it leaves", c.Life, r.Server, c.Sent.Sub(at))
				broken = append(broken, Violation{"draining", c.ID, what, c.Ended})
			}
		}
	}
	return broken
}
