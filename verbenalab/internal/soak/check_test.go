package soak_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/platform/standin"
	"verbenaledge.example/verbenalab/internal/soak"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func appCall(id string, status int, body string) soak.Call {
	return soak.Call{
		ID: id, Route: soak.RouteApp, Key: "key-usual", Process: "front-0#1", Sent: at(0), Ended: at(10), Status: status, ResponseID: id, Body: body, Complete: true,
	}
}

func serverRun(id, server string, ms int) soak.ServerRun {
	return soak.ServerRun{Run: standin.Run{ID: id, Workspace: "usual", At: at(ms)}, Server: server}
}

func output(id string) string {
	lines := make([]string, 0, 12)
	for n := 1; n <= 12; n++ {
		lines = append(lines, standin.EventText(id, n))
	}
	return strings.Join(lines, "\n")
}

func completedItem(item string) standin.ItemResult {
	return standin.ItemResult{ID: item, State: "completed", Output: output(item)}
}

func readCall(after, ms int, results ...standin.ItemResult) soak.JobCall {
	return soak.JobCall{
		Job: "job1", Verb: "read", Host: "front-0", After: after, Sent: at(ms), Ended: at(ms + 10), Status: 200,
		Listing: standin.JobListing{Total: 6, Next: after + len(results), Results: results},
	}
}

func submitCall(status, ms int) soak.JobCall {
	return soak.JobCall{Job: "job1", Verb: "submit", Host: "front-0", Sent: at(ms), Ended: at(ms + 10), Status: status}
}

// validHistory returns evidence without violations. Each test case adds a violation to it.
func validHistory() *soak.Evidence {
	ev := &soak.Evidence{
		ItemsPerJob: 6, RecoveredAt: at(50_000), DrainedServer: "server-0", DrainedAt: at(60_000),
		Calls: []soak.Call{
			appCall("a", 200, "answer to a"),
			{ID: "b", Route: soak.RouteStream, Key: "key-usual", Status: 200, ResponseID: "b", Body: "id: 1\ndata: b/1\n\nid: 2\nda"},
			appCall("c", 429, "{}"),
			{ID: "d", Route: soak.RouteApp, Key: "key-unknown", Status: 401, ResponseID: "d", Complete: true},
			{ID: "t", Route: soak.RouteResume, Key: "key-usual", Status: 200, ResponseID: "t", Body: "id: 1\ndata: t/1@1.4.0\n\n"},
			{
				ID: "u", Route: soak.RouteResume, Key: "key-usual", FirstAttempt: "t", ResumedAfter: 1, Status: 200, ResponseID: "u",
				Body: "id: 2\ndata: u/2@1.4.0\n\nid: 3\nda",
			},
			{ID: "e", Route: soak.RouteOnce, Key: "key-usual", Status: 502, ResponseID: "e", Complete: true},
		},
		ServerRuns: []soak.ServerRun{
			serverRun("a", "server-3", 1), serverRun("b", "server-0", 2), serverRun("e", "server-4", 3), serverRun("job1-0", "server-0", 30),
		},
		JobCalls: []soak.JobCall{
			submitCall(503, 0), submitCall(202, 20), readCall(0, 3000, completedItem("job1-0"), completedItem("job1-1")),
			readCall(2, 3500), readCall(1, 3600, completedItem("job1-1")),
		},
	}
	ev.ProcessEnds = append(ev.ProcessEnds, soak.ProcessEnd{Process: "front-0#2", Asked: true, Status: "exit status 0", At: at(4000)})
	withdrawn := appCall("f", 401, "{}")
	withdrawn.Key, withdrawn.Sent, withdrawn.Ended = "key-withdrawn", at(2000), at(2010)
	ev.Calls = append(ev.Calls, withdrawn)
	return ev
}

func TestCheckAcceptsValidHistory(t *testing.T) {
	qt.Assert(t, soak.Check(validHistory()), qt.HasLen, 0)
}

// TestCheckDetectsViolations gives each checker evidence that violates exactly its rule.
func TestCheckDetectsViolations(t *testing.T) {
	for _, tc := range []struct {
		name, rule string
		inject     func(ev *soak.Evidence)
	}{
		{"a response of another request", "answers", func(ev *soak.Evidence) { ev.Calls[0].ResponseID = "z" }},
		{"a cut stream that ends without an error", "answers", func(ev *soak.Evidence) { ev.Calls[1].Complete = true }},
		{"an event twice", "answers", func(ev *soak.Evidence) { ev.Calls[1].Body = "id: 1\ndata: b/1\n\nid: 1\ndata: b/1\n\n" }},
		{"a cut take-up that ends without an error", "answers", func(ev *soak.Evidence) { ev.Calls[5].Complete = true }},
		{"a stream taken up at its start", "answers", func(ev *soak.Evidence) { ev.Calls[5].Body = "id: 1\ndata: u/1@1.4.0\n\n" }},
		{"a stream of two versions in one response", "versions", func(ev *soak.Evidence) {
			ev.Calls[5].Body = "id: 2\ndata: u/2@1.4.0\n\nid: 3\ndata: u/3@1.5.0\n\n"
		}},
		{"a stream taken up at another version", "versions", func(ev *soak.Evidence) { ev.Calls[5].Body = "id: 2\ndata: u/2@1.5.0\n\n" }},
		{"an output of two versions", "versions", func(ev *soak.Evidence) {
			r := completedItem("job1-2")
			r.Output = strings.Replace(strings.ReplaceAll(r.Output, "\n", "@1.4.0\n")+"@1.4.0", "/7@1.4.0", "/7@1.5.0", 1)
			ev.JobCalls = append(ev.JobCalls, readCall(2, 5000, r))
		}},
		{"refused but run", "not run", func(ev *soak.Evidence) { ev.ServerRuns = append(ev.ServerRuns, serverRun("c", "server-3", 5)) }},
		{"a request to a draining server", "draining", func(ev *soak.Evidence) {
			first, later := serverRun("noticed", "server-3", 100), serverRun("later", "server-3", 2700)
			first.DrainCount, later.DrainCount = 1, 1
			ev.ServerRuns = append(ev.ServerRuns, first, later)
			ev.Calls = append(
				ev.Calls, soak.Call{ID: "noticed", Route: soak.RouteApp, Process: "front-0#1", Sent: at(90), Ended: at(110), Draining: true},
				soak.Call{ID: "later", Route: soak.RouteApp, Process: "front-0#1", Sent: at(2690), Ended: at(2710)},
			)
		}},
		{"run twice", "at most once", func(ev *soak.Evidence) { ev.ServerRuns = append(ev.ServerRuns, serverRun("e", "server-3", 5)) }},
		{"run four times", "at most once", func(ev *soak.Evidence) {
			ev.ServerRuns = append(ev.ServerRuns, serverRun("a", "server-3", 5), serverRun("a", "server-4", 6), serverRun("a", "server-3", 7))
		}},
		{"items of a refused job run", "not run", func(ev *soak.Evidence) {
			ev.JobCalls = ev.JobCalls[:1]
		}},
		{"an unknown key is served", "keys", func(ev *soak.Evidence) {
			c := appCall("g", 200, "answer to g")
			c.Key = "key-unknown"
			ev.Calls = append(ev.Calls, c)
		}},
		{"a server sees a key", "keys", func(ev *soak.Evidence) { ev.LeakedKeys = 1 }},
		{"a configuration reverts", "configuration", func(ev *soak.Evidence) {
			c := appCall("g", 200, "answer to g")
			c.Key, c.Sent, c.Ended = "key-withdrawn", at(2020), at(2030)
			ev.Calls = append(ev.Calls, c)
		}},
		{"a withdrawn key after recovery", "keys", func(ev *soak.Evidence) {
			c := appCall("g", 200, "answer to g")
			c.Key, c.Process, c.Sent, c.Ended = "key-withdrawn", "front-1#4", at(51_000), at(51_010)
			ev.Calls = append(ev.Calls, c)
		}},
		{"beyond the rate over two servers", "rates", func(ev *soak.Evidence) {
			for n := range 153 {
				ev.ServerRuns = append(ev.ServerRuns, serverRun(fmt.Sprint("r", n), []string{"server-3", "server-4"}[n%2], 9000+30*n))
			}
		}},
		{"a position changes", "positions", func(ev *soak.Evidence) { ev.JobCalls = append(ev.JobCalls, readCall(1, 5000, completedItem("job1-3"))) }},
		{"an item at two positions", "positions", func(ev *soak.Evidence) { ev.JobCalls = append(ev.JobCalls, readCall(2, 5000, completedItem("job1-0"))) }},
		{"an incomplete output", "outputs", func(ev *soak.Evidence) {
			ev.JobCalls = append(ev.JobCalls, readCall(2, 5000, standin.ItemResult{ID: "job1-2", State: "completed", Output: "job1-2/1"}))
		}},
		{"an item of another job", "outputs", func(ev *soak.Evidence) { ev.JobCalls = append(ev.JobCalls, readCall(2, 5000, completedItem("job2-2"))) }},
		{"an error without a cause", "outputs", func(ev *soak.Evidence) {
			ev.JobCalls = append(ev.JobCalls, readCall(2, 5000, standin.ItemResult{ID: "job1-2", State: "errored"}))
		}},
		{"a wrong total", "outputs", func(ev *soak.Evidence) { ev.JobCalls[3].Listing.Total = 5 }},
		{"an accepted job is gone", "kept", func(ev *soak.Evidence) {
			gone := readCall(0, 5000)
			gone.Status, gone.Listing = 404, standin.JobListing{}
			ev.JobCalls = append(ev.JobCalls, gone)
		}},
		{"a result that was read is gone", "kept", func(ev *soak.Evidence) { ev.JobCalls = append(ev.JobCalls, readCall(1, 5000)) }},
		{"a draining server receives requests", "leaving", func(ev *soak.Evidence) { ev.ServerRuns = append(ev.ServerRuns, serverRun("x", "server-0", 63_500)) }},
		{"an evacuated server receives requests", "evacuated", func(ev *soak.Evidence) {
			ev.EvacuatedAt, ev.EvacuatedServers = at(60_000), map[string]bool{"server-2": true}
			ev.ServerRuns = append(ev.ServerRuns, serverRun("x", "server-2", 63_500))
		}},
		{"a host that is cut off serves nobody", "cut off", func(ev *soak.Evidence) { *ev = *cutHistory(13_500, 10, 50) }},
		{"a process that crashes when asked to stop", "stop", func(ev *soak.Evidence) { ev.ProcessEnds[0].Status = "exit status 2" }},
		{"a process that SIGTERM ends without its doing", "stop", func(ev *soak.Evidence) { ev.ProcessEnds[0].Status = "signal: terminated" }},
		{"a process that doesn't stop", "stop", func(ev *soak.Evidence) { ev.ProcessEnds[0].Status = "" }},
		{"a process that ends by itself", "crash", func(ev *soak.Evidence) { ev.ProcessEnds[0].Asked = false }},
		{"a panic in a log", "crash", func(ev *soak.Evidence) {
			ev.CrashReports = append(ev.CrashReports, soak.CrashReport{Host: "front-0", Text: "panic: send on closed channel"})
		}},
		{"requests without a caller", "left running", func(ev *soak.Evidence) { ev.StillRunning = 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ev := validHistory()
			tc.inject(ev)
			rules := make(map[string]bool)
			for _, v := range soak.Check(ev) {
				rules[v.Rule] = true
			}
			qt.Assert(t, rules, qt.DeepEquals, map[string]bool{tc.rule: true})
		})
	}
}

// TestPlanIsDeterministic checks that a seed always gives the same plan, and that a long plan contains all kinds.
func TestPlanIsDeterministic(t *testing.T) {
	c := qt.New(t)
	c.Assert(soak.NewPlan(7, time.Minute).String(), qt.Equals, soak.NewPlan(7, time.Minute).String())
	c.Assert(soak.NewPlan(7, time.Minute).String(), qt.Not(qt.Equals), soak.NewPlan(8, time.Minute).String())
	seen := make(map[soak.FaultKind]bool)
	for _, f := range soak.NewPlan(1, 10*time.Minute) {
		seen[f.Kind] = true
	}
	c.Assert(len(seen), qt.Equals, len(soak.FaultKinds()))
}
