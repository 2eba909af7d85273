package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

const (
	// smallestHost is the least memory of the hosts that run the programs, in MB.
	smallestHost = 112
	// manyAnswers is how many endless answers come at once, and manySlots takes them all on any one server.
	manyAnswers = 300
	manySlots   = 200
)

// TestMemoryUnderEndlessAnswers: hundreds of answers without end at once neither outgrow the smallest host nor keep
// a slot.
func TestMemoryUnderEndlessAnswers(t *testing.T) {
	c := qt.New(t)
	town, err := NewTown(Options{
		Programs: builtPrograms, Dir: t.TempDir(), Seed: 1, Rate: 100_000, Subnet: fmt.Sprintf("59.%d", 1+os.Getpid()%250),
	})
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	defer func() { c.Check(town.Close(), qt.IsNil) }()
	callers := &Callers{town: town}
	c.Assert(town.eventually(t.Context(), startTime, "start", "every host serves", callers.serves), qt.IsTrue)
	for n, s := range town.servers {
		s.server.Slots = manySlots
		town.register(n, "ready")
	}
	for _, round := range []struct{ app, llm standin.ServerFault }{
		{standin.EndlessHead, standin.EndlessHead}, {standin.EndlessBody, standin.EndlessEvent},
	} {
		town.faults("app", round.app)
		town.faults("llm", round.llm)
		var all sync.WaitGroup
		for n := range manyAnswers {
			all.Go(func() {
				route := []Route{RouteApp, RouteOnce, RouteResume, RouteStream}[n%4]
				at := address(town.hosts[n%fronts].listed, callerPort)
				q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/%s/x", at, route), nil)
				c.Check(err, qt.IsNil)
				q.Host = "host.example"
				q.Header.Set("Authorization", "Bearer "+keyUsual)
				q.Header.Set(standin.HeaderRequestID, fmt.Sprintf("endless-%d", n))
				for k, v := range standin.StreamHeaders() {
					q.Header.Set(k, v)
				}
				a, err := http.DefaultClient.Do(q)
				if err != nil {
					return // cut, as it must be
				}
				defer func() { _ = a.Body.Close() }()
				_, err = io.Copy(io.Discard, a.Body)
				c.Check(err != nil || a.StatusCode != http.StatusOK, qt.IsTrue, qt.Commentf("an endless answer looks whole"))
			})
		}
		all.Wait()
	}
	for _, h := range town.hosts {
		c.Check(peakMemory(c, h) < smallestHost, qt.IsTrue, qt.Commentf("%s took %d MB", h.name, peakMemory(c, h)))
	}
	town.faults("app", standin.NoFault)
	town.faults("llm", standin.NoFault)
	c.Assert(town.eventually(t.Context(), startTime, "slots", "every host serves again", callers.serves), qt.IsTrue)
	for _, s := range town.servers {
		c.Check(s.server.Running(), qt.Equals, 0, qt.Commentf("%s", s.server.ID))
	}
}

var peak = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory is the most memory that a host's process has had, in MB.
func peakMemory(c *qt.C, h *host) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.PID()))
	c.Assert(err, qt.IsNil, qt.Commentf("%s has ended", h.name))
	found := peak.FindSubmatch(raw)
	c.Assert(found, qt.HasLen, 2)
	kilobytes, err := strconv.Atoi(string(found[1]))
	c.Assert(err, qt.IsNil)
	return kilobytes >> 10
}
