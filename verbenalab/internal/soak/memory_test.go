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
	// minHostMemoryMB is the memory of the smallest hosts that run the programs, in MB.
	minHostMemoryMB = 112
	// endlessResponses is the number of concurrent endless responses. slotsPerServer is enough for the half of them that
	// each service receives to run at one server.
	endlessResponses = 300
	slotsPerServer   = 200
)

// TestMemoryUnderEndlessResponses checks that hundreds of concurrent endless responses neither exceed the memory of the
// smallest host nor keep their slots.
func TestMemoryUnderEndlessResponses(t *testing.T) {
	c := qt.New(t)
	env, err := NewEnvironment(Options{
		ProgramsDir: programsDir, Dir: t.TempDir(), Seed: 1, Rate: 100_000, Subnet: fmt.Sprintf("59.%d", 1+os.Getpid()%250),
	})
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	defer func() { c.Check(env.Close(), qt.IsNil) }()
	callers := &Callers{env: env}
	c.Assert(env.eventually(t.Context(), startTimeout, "start", "every host serves", callers.allServing), qt.IsTrue)
	for n, s := range env.servers {
		s.server.Slots = slotsPerServer
		env.registerServer(n, "ready")
	}
	for _, r := range []struct{ app, llm standin.ServerFault }{
		{standin.EndlessHead, standin.EndlessHead}, {standin.EndlessBody, standin.EndlessEvent},
	} {
		env.setServerFault("app", r.app)
		env.setServerFault("llm", r.llm)
		var wg sync.WaitGroup
		for n := range endlessResponses {
			wg.Go(func() {
				route := []Route{RouteApp, RouteOnce, RouteResume, RouteStream}[n%4]
				at := address(env.hosts[n%entryHosts].advertisedIP, callerPort)
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%s/%s/x", at, route), nil)
				c.Check(err, qt.IsNil)
				request.Host = "host.example"
				request.Header.Set("Authorization", "Bearer "+keyWithinRate)
				request.Header.Set(standin.HeaderRequestID, fmt.Sprintf("endless-%d", n))
				for k, v := range standin.StreamHeaders() {
					request.Header.Set(k, v)
				}
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return // cut, as expected
				}
				defer func() { _ = response.Body.Close() }()
				_, err = io.Copy(io.Discard, response.Body)
				c.Check(err != nil || response.StatusCode != http.StatusOK, qt.IsTrue, qt.Commentf("an endless response ended without an error"))
			})
		}
		wg.Wait()
	}
	for _, h := range env.hosts {
		c.Check(peakMemory(c, h) < minHostMemoryMB, qt.IsTrue, qt.Commentf("%s used %d MB", h.name, peakMemory(c, h)))
	}
	env.setServerFault("app", standin.NoFault)
	env.setServerFault("llm", standin.NoFault)
	c.Assert(env.eventually(t.Context(), startTimeout, "slots", "every host serves again", callers.allServing), qt.IsTrue)
	for _, s := range env.servers {
		c.Check(s.server.Running(), qt.Equals, 0, qt.Commentf("%s", s.server.ID))
	}
}

var peakMemoryLine = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the peak memory of a host's process, in MB.
func peakMemory(c *qt.C, h *host) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.PID()))
	c.Assert(err, qt.IsNil, qt.Commentf("%s has exited", h.name))
	found := peakMemoryLine.FindSubmatch(raw)
	c.Assert(found, qt.HasLen, 2)
	kilobytes, err := strconv.Atoi(string(found[1]))
	c.Assert(err, qt.IsNil)
	return kilobytes >> 10
}
