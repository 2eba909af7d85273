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

const programsDir = "../../../bin"

// TestExplainFindsCauseInLogs injects faults into the real programs and checks that `verbenactl explain` names the cause
// of each failed request from the log lines alone.
func TestExplainFindsCauseInLogs(t *testing.T) {
	c := qt.New(t)
	env, err := NewEnvironment(Options{ProgramsDir: programsDir, Dir: t.TempDir(), Seed: 1, Subnet: fmt.Sprintf("60.%d", 1+os.Getpid()%250)})
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	defer func() { c.Check(env.Close(), qt.IsNil) }()
	callers := &Callers{env: env}
	c.Assert(env.eventually(t.Context(), startTimeout, "start", "every host serves", callers.allServing), qt.IsTrue)
	ca := &caller{group: callers, random: rand.New(rand.NewPCG(1, 1)), client: &http.Client{}}

	env.setServerFault("app", standin.CloseWithoutAnswer)
	lost := ca.requestUntil(c, RouteOnce, http.StatusBadGateway)
	env.setServerFault("app", standin.InternalError)
	failed := ca.requestUntil(c, RouteApp, http.StatusInternalServerError)
	env.setServerFault("app", standin.NoFault)
	refused := ca.requestUntil(c, RouteApp, http.StatusTooManyRequests)
	blocked := ca.blockedRequest(c)
	env.setServerFault("llm", standin.Unprocessable)
	c.Assert(env.eventually(t.Context(), startTimeout, "job", "a job is accepted", func() bool { return ca.submitJob("job0") }), qt.IsTrue)
	c.Assert(env.eventually(t.Context(), startTimeout, "job", "its items are listed", func() bool { return ca.hasAllResults(env.hosts[0], "job0") }), qt.IsTrue)

	for _, tc := range []struct{ id, cause string }{
		{lost, "answer_lost"},
		{failed, "server_failure"},
		{refused, "over_rate"},
		{blocked, "crashing_part"},
		{"job0-0", "cannot_be_done"},
	} {
		c.Check(env.explainedCause(c, tc.id), qt.Contains, tc.cause, qt.Commentf("%s", tc.id))
	}
}

// setServerFault injects a fault into every request to the servers of a service.
func (e *Environment) setServerFault(service string, f standin.ServerFault) {
	for _, s := range e.servers {
		if s.server.Service == service {
			s.server.SetFault(func(*http.Request) standin.ServerFault { return f })
		}
	}
}

// requestUntil sends requests until one is answered with the given status, and returns its id.
func (ca *caller) requestUntil(c *qt.C, r Route, status int) string {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if call := ca.requestTo(ca.group.env.hosts[0], r, keyWithinRate); call.Status == status {
			return call.ID
		}
	}
	c.Fatalf("no response with status %d", status)
	return ""
}

// blockedRequest crashes servers with a prompt part until a request is refused for it, and returns that request's id.
func (ca *caller) blockedRequest(c *qt.C) string {
	ca.group.env.crashOn(lateCrashingPart)
	defer ca.group.env.crashOn("")
	header := map[string]string{standin.HeaderPromptParts: lateCrashingPart + ":10,own:10"}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		call := ca.requestWithHeader(ca.group.env.hosts[0], RouteStream, keyWithinRate, header)
		if call.Status == http.StatusServiceUnavailable && strings.Contains(call.Body, "crashing_part") {
			return call.ID
		}
	}
	c.Fatal("no request was refused")
	return ""
}

// explainedCause returns the line of `verbenactl explain` that names the cause of an id. It retries because the last log
// lines may not have been written yet.
func (e *Environment) explainedCause(c *qt.C, id string) (cause string) {
	logs := make([]string, 0, len(e.hosts))
	for _, h := range e.hosts {
		logs = append(logs, h.logFile())
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		out, err := exec.Command(filepath.Join(programsDir, "verbenactl"), append([]string{"explain", id}, logs...)...).CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
		for _, l := range strings.Split(string(out), "\n") {
			if strings.Contains(l, "cause:") {
				return l
			}
		}
	}
	return ""
}
