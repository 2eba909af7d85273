package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
)

const builtPrograms = "../../../bin"

// TestCauseFromLines plays faults against the real programs, and finds each cause from their lines alone,
// with the tool that operators have.
func TestCauseFromLines(t *testing.T) {
	c := qt.New(t)
	town, err := NewTown(Options{Programs: builtPrograms, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("60.%d", 1+os.Getpid()%250)})
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	defer func() { c.Check(town.Close(), qt.IsNil) }()
	callers := &Callers{town: town}
	c.Assert(town.eventually(t.Context(), startTime, "start", "every host serves", callers.serves), qt.IsTrue)
	a := &agent{callers: callers, random: rand.New(rand.NewPCG(1, 1)), http: &http.Client{}}

	town.faults("app", standin.CloseWithoutAnswer)
	lost := a.until(c, RouteOnce, http.StatusBadGateway)
	town.faults("app", standin.InternalError)
	failed := a.until(c, RouteApp, http.StatusInternalServerError)
	town.faults("app", standin.NoFault)
	refused := a.until(c, RouteApp, http.StatusTooManyRequests)
	town.faults("llm", standin.Unprocessable)
	c.Assert(town.eventually(t.Context(), startTime, "job", "a job is accepted", func() bool { return a.submit("job0") }), qt.IsTrue)
	c.Assert(town.eventually(t.Context(), startTime, "job", "its items are listed", func() bool { return a.whole(town.hosts[0], "job0") }), qt.IsTrue)

	for _, tc := range []struct{ id, cause string }{
		{lost, "answer_lost"},
		{failed, "server_failure"},
		{refused, "over_rate"},
		{"job0-0", "cannot_be_done"},
	} {
		c.Check(town.cause(c, tc.id), qt.Contains, tc.cause, qt.Commentf("%s", tc.id))
	}
}

// faults makes all servers of a service do the same with each request.
func (t *Town) faults(service string, f standin.ServerFault) {
	for _, s := range t.servers {
		if s.server.Service == service {
			s.server.SetFault(func(*http.Request) standin.ServerFault { return f })
		}
	}
}

// until sends requests until one is answered with a status, and returns its id.
func (a *agent) until(c *qt.C, r Route, status int) string {
	for end := time.Now().Add(startTime); time.Now().Before(end); {
		if call := a.requestTo(a.callers.town.hosts[0], r, keyUsual); call.Status == status {
			return call.ID
		}
	}
	c.Fatalf("no answer with status %d", status)
	return ""
}

// cause is the cause that the operators' tool prints for an id; the last lines may still be on their way.
func (t *Town) cause(c *qt.C, id string) (cause string) {
	logs := make([]string, 0, len(t.hosts))
	for _, h := range t.hosts {
		logs = append(logs, h.logFile())
	}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(lookEvery) {
		out, err := exec.Command(filepath.Join(builtPrograms, "verbenactl"), append([]string{"explain", id}, logs...)...).CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
		for _, l := range strings.Split(string(out), "\n") {
			if strings.Contains(l, "cause:") {
				return l
			}
		}
	}
	return ""
}
