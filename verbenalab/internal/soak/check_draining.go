package soak

import (
	"fmt"
	"time"

	"verbenaledge.example/verbena/objects/memory"
)

// drainFaults are drawn by a random generator of their own, for the same reason as laterFaults. Their servers announce in
// their responses that they are draining.
var drainFaults = map[FaultKind]fault{
	"server_says_it_leaves": {serverCount, func(e *Environment, n int) {
		e.servers[n].server.SetDraining(true)
	}, func(e *Environment, n int) {
		e.servers[n].server.Restart(time.Now())
		e.registerServer(n, "ready")
	}},
	"server_says_it_leaves_in_outage": {serverCount, func(e *Environment, n int) {
		storeFault(memory.Refuse, 1).begin(e, 0)
		e.servers[n].server.SetDraining(true)
	}, func(e *Environment, n int) {
		storeFault(memory.Refuse, 1).end(e, 0)
		e.servers[n].server.Restart(time.Now())
		e.registerServer(n, "ready")
	}},
}

// drainNoticeGrace is the time that a host may still send requests to a server after it has forwarded the server's
// drain notice.
const drainNoticeGrace = 2 * time.Second

// drainNotice is a drain notice of a server that a host's process has forwarded to a caller. drainCount is how often the
// server had begun to drain by then.
type drainNotice struct {
	process, server string
	drainCount      int
}

// checkDraining checks that a host that has forwarded a server's drain notice sends that server no request that arrives
// more than drainNoticeGrace later.
func checkDraining(ev *Evidence) (violations []Violation) {
	runs := make(map[string][]ServerRun)
	for _, r := range ev.ServerRuns {
		if r.DrainCount > 0 {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	noticedAt := make(map[drainNotice]time.Time)
	for _, c := range ev.Calls {
		// If a request was sent to several servers, it is unknown which of them sent the response.
		if c.Draining && c.Process != "" && len(runs[c.ID]) == 1 {
			r := runs[c.ID][0]
			notice := drainNotice{c.Process, r.Server, r.DrainCount}
			if at, ok := noticedAt[notice]; !ok || c.Ended.Before(at) {
				noticedAt[notice] = c.Ended
			}
		}
	}
	for _, c := range ev.Calls {
		for _, r := range runs[c.ID] {
			if at, ok := noticedAt[drainNotice{c.Process, r.Server, r.DrainCount}]; ok && c.Sent.After(at.Add(drainNoticeGrace)) {
				text := fmt.Sprintf("%s sent it to %s, %s after it had forwarded the server's drain notice", c.Process, r.Server, c.Sent.Sub(at))
				violations = append(violations, Violation{"draining", c.ID, text, c.Ended})
			}
		}
	}
	return violations
}
