package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	// crashFaultInterval is the mean time between the starts of crashFaults.
	crashFaultInterval = 3 * time.Second
	// crashDownTime is how long a crashed server is down.
	crashDownTime = 300 * time.Millisecond
	// crashingPart crashes servers during the fault part_crashes, lateCrashingPart after recovery.
	crashingPart, lateCrashingPart = "crashing", "crashing-late"
	// crashingPeriod is the number of streams of which one has crashingPart in its prompt.
	crashingPeriod = 8
	// promptVariants is the number of prompt parts that several streams share.
	promptVariants = 4
	// learningTime is the time that hosts have to learn of maxCrashes crashes; then at most maxLaterRequests more requests
	// with the crashing part may reach servers.
	learningTime     = 3 * time.Second
	maxCrashes       = 5
	maxLaterRequests = 3
	// laterRequests is how many are sent then, and as many that share only their other parts.
	laterRequests = 20
)

var crashFaults = map[FaultKind]fault{
	"servers_crash": {streamServers, func(e *Environment, n int) {
		for _, target := range []int{n, (n + 1) % streamServers} {
			e.servers[target].server.Crash(crashDownTime)
		}
	}, noop},
	"part_crashes": {1, func(e *Environment, _ int) { e.crashOn(crashingPart) }, func(e *Environment, _ int) { e.crashOn("") }},
}

func (e *Environment) crashOn(part string) {
	for _, s := range e.servers[:streamServers] {
		s.server.CrashOn(part, crashDownTime)
	}
}

// promptParts returns the prompt header of the n-th request: some share a crashing part, and all share the first one.
func promptParts(n int64) string {
	variant := fmt.Sprintf("shared:10,part-%d:10", n%promptVariants)
	if n%crashingPeriod == 0 {
		variant += "," + crashingPart + ":10"
	}
	return fmt.Sprintf("%s,own-%d:10", variant, n)
}

// crashTotals sums the crashes of the stream servers, and the requests with the crashing part that reached them.
func (e *Environment) crashTotals() (crashed, received int) {
	for _, s := range e.servers[:streamServers] {
		c, r := s.server.Crashes()
		crashed, received = crashed+c, received+r
	}
	return crashed, received
}

// Containment is what became of requests with a crashing part after recovery, and of those that share their other parts.
type Containment struct {
	// Later counts the requests with the crashing part that reached servers although hosts had time to learn of it.
	Later int
	// Sound counts the requests without the part, SoundAnswered those that were answered.
	Sound, SoundAnswered int
	EndedAt              time.Time
}

// measureContainment sends requests with a part that crashes servers, from callers of all hosts, and then others.
func (e *Environment) measureContainment(ctx context.Context, c *Callers) (r Containment) {
	ca := &caller{
		group: c, neverAbandons: true, random: rand.New(rand.NewPCG(e.options.Seed, 2)), client: &http.Client{Transport: &http.Transport{}},
	}
	defer ca.client.CloseIdleConnections()
	e.crashOn(lateCrashingPart)
	defer e.crashOn("")
	send := func(parts string) Call {
		return ca.requestWithHeader(ca.anyHost(), RouteStream, keyWithinRate, map[string]string{standin.HeaderPromptParts: parts + ":10,own:10"})
	}
	before, _ := e.crashTotals()
	for n := 0; n < laterRequests && ctx.Err() == nil; n++ {
		send("shared:10,part-0:10," + lateCrashingPart)
		if crashed, _ := e.crashTotals(); crashed-before >= maxCrashes {
			break
		}
	}
	time.Sleep(learningTime)
	_, received := e.crashTotals()
	for n := 0; n < laterRequests && ctx.Err() == nil; n++ {
		send("shared:10,part-0:10," + lateCrashingPart)
		r.Sound++
		if call := send("shared:10,part-0"); call.Status == http.StatusOK && call.Complete {
			r.SoundAnswered++
		}
	}
	_, after := e.crashTotals()
	r.Later, r.EndedAt = after-received, time.Now()
	return r
}

// checkContainment checks that requests with a crashing part are contained, and that those with only their other parts are
// served.
func checkContainment(ev *Evidence) (violations []Violation) {
	r := ev.Containment
	if r.Later > maxLaterRequests {
		violations = append(violations, Violation{"contained", crashingPart, fmt.Sprintf("%d requests with a crashing part reached servers", r.Later), r.EndedAt})
	}
	if 2*r.SoundAnswered < r.Sound {
		violations = append(violations, Violation{
			"contained", crashingPart, fmt.Sprintf("%d of %d requests that share other parts were answered", r.SoundAnswered, r.Sound), r.EndedAt,
		})
	}
	return violations
}
