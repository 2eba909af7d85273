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

// at is so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func plain(id string, status int, body string) soak.Call {
	return soak.Call{
		ID: id, Route: soak.RouteApp, Key: "key-usual", Life: "front-0#1", Sent: at(0), Ended: at(10), Status: status, AnswerID: id, Body: body, Whole: true,
	}
}

func ran(id, server string, ms int) soak.ServerRun {
	return soak.ServerRun{Run: standin.Run{ID: id, Workspace: "usual", At: at(ms)}, Server: server}
}

func output(id string) string {
	lines := make([]string, 0, 12)
	for n := 1; n <= 12; n++ {
		lines = append(lines, standin.EventText(id, n))
	}
	return strings.Join(lines, "\n")
}

func done(item string) standin.ItemResult {
	return standin.ItemResult{ID: item, State: "completed", Output: output(item)}
}

func read(after, ms int, results ...standin.ItemResult) soak.JobCall {
	return soak.JobCall{
		Job: "job1", Verb: "read", Host: "front-0", After: after, Sent: at(ms), Ended: at(ms + 10), Status: 200,
		Listing: standin.JobListing{Total: 6, Next: after + len(results), Results: results},
	}
}

func submitted(status, ms int) soak.JobCall {
	return soak.JobCall{Job: "job1", Verb: "submit", Host: "front-0", Sent: at(ms), Ended: at(ms + 10), Status: status}
}

// sound is a history that breaks nothing; each case of the test adds what does.
func sound() *soak.Evidence {
	e := &soak.Evidence{
		Items: 6, CalmFrom: at(50_000), Left: "server-0", LeftAt: at(60_000),
		Calls: []soak.Call{
			plain("a", 200, "answer to a"),
			{ID: "b", Route: soak.RouteStream, Key: "key-usual", Status: 200, AnswerID: "b", Body: "id: 1\ndata: b/1\n\nid: 2\nda"},
			plain("c", 429, "{}"),
			{ID: "d", Route: soak.RouteApp, Key: "key-unknown", Status: 401, AnswerID: "d", Whole: true},
			{ID: "e", Route: soak.RouteOnce, Key: "key-usual", Status: 502, AnswerID: "e", Whole: true},
		},
		Runs: []soak.ServerRun{ran("a", "server-3", 1), ran("b", "server-0", 2), ran("e", "server-4", 3), ran("job1-0", "server-0", 30)},
		Jobs: []soak.JobCall{
			submitted(503, 0), submitted(202, 20), read(0, 3000, done("job1-0"), done("job1-1")), read(2, 3500), read(1, 3600, done("job1-1")),
		},
	}
	withdrawn := plain("f", 401, "{}")
	withdrawn.Key, withdrawn.Sent, withdrawn.Ended = "key-withdrawn", at(2000), at(2010)
	e.Calls = append(e.Calls, withdrawn)
	return e
}

func TestSoundHistoryPasses(t *testing.T) {
	qt.Assert(t, soak.Check(sound()), qt.HasLen, 0)
}

// TestCheckersCatch gives each checker a history that breaks what it checks.
func TestCheckersCatch(t *testing.T) {
	for _, tc := range []struct {
		name, rule string
		harm       func(e *soak.Evidence)
	}{
		{"an answer of another request", "answers", func(e *soak.Evidence) { e.Calls[0].AnswerID = "z" }},
		{"a cut stream that looks whole", "answers", func(e *soak.Evidence) { e.Calls[1].Whole = true }},
		{"an event twice", "answers", func(e *soak.Evidence) { e.Calls[1].Body = "id: 1\ndata: b/1\n\nid: 1\ndata: b/1\n\n" }},
		{"refused and run", "not run", func(e *soak.Evidence) { e.Runs = append(e.Runs, ran("c", "server-3", 5)) }},
		{"a request to a server that leaves", "draining", func(e *soak.Evidence) {
			first, later := ran("told", "server-3", 100), ran("later", "server-3", 2700)
			first.DrainCount, later.DrainCount = 1, 1
			e.Runs = append(e.Runs, first, later)
			e.Calls = append(
				e.Calls, soak.Call{ID: "told", Route: soak.RouteApp, Life: "front-0#1", Sent: at(90), Ended: at(110), Draining: true},
				soak.Call{ID: "later", Route: soak.RouteApp, Life: "front-0#1", Sent: at(2690), Ended: at(2710)},
			)
		}},
		{"run twice", "at most once", func(e *soak.Evidence) { e.Runs = append(e.Runs, ran("e", "server-3", 5)) }},
		{"run four times", "at most once", func(e *soak.Evidence) {
			e.Runs = append(e.Runs, ran("a", "server-3", 5), ran("a", "server-4", 6), ran("a", "server-3", 7))
		}},
		{"items of a refused job run", "not run", func(e *soak.Evidence) {
			e.Jobs = e.Jobs[:1]
		}},
		{"an unknown key is served", "keys", func(e *soak.Evidence) {
			c := plain("g", 200, "answer to g")
			c.Key = "key-unknown"
			e.Calls = append(e.Calls, c)
		}},
		{"a server sees a key", "keys", func(e *soak.Evidence) { e.KeysSeen = 1 }},
		{"a configuration goes back", "configuration", func(e *soak.Evidence) {
			c := plain("g", 200, "answer to g")
			c.Key, c.Sent, c.Ended = "key-withdrawn", at(2020), at(2030)
			e.Calls = append(e.Calls, c)
		}},
		{"a withdrawn key in the calm", "keys", func(e *soak.Evidence) {
			c := plain("g", 200, "answer to g")
			c.Key, c.Life, c.Sent, c.Ended = "key-withdrawn", "front-1#4", at(51_000), at(51_010)
			e.Calls = append(e.Calls, c)
		}},
		{"beyond the rate over two servers", "rates", func(e *soak.Evidence) {
			for n := range 153 {
				e.Runs = append(e.Runs, ran(fmt.Sprint("r", n), []string{"server-3", "server-4"}[n%2], 9000+30*n))
			}
		}},
		{"a position changes", "positions", func(e *soak.Evidence) { e.Jobs = append(e.Jobs, read(1, 5000, done("job1-3"))) }},
		{"an item at two positions", "positions", func(e *soak.Evidence) { e.Jobs = append(e.Jobs, read(2, 5000, done("job1-0"))) }},
		{"half an output", "outputs", func(e *soak.Evidence) {
			e.Jobs = append(e.Jobs, read(2, 5000, standin.ItemResult{ID: "job1-2", State: "completed", Output: "job1-2/1"}))
		}},
		{"an item of another job", "outputs", func(e *soak.Evidence) { e.Jobs = append(e.Jobs, read(2, 5000, done("job2-2"))) }},
		{"given up without cause", "outputs", func(e *soak.Evidence) {
			e.Jobs = append(e.Jobs, read(2, 5000, standin.ItemResult{ID: "job1-2", State: "errored"}))
		}},
		{"a wrong total", "outputs", func(e *soak.Evidence) { e.Jobs[3].Listing.Total = 5 }},
		{"an accepted job is gone", "kept", func(e *soak.Evidence) {
			gone := read(0, 5000)
			gone.Status, gone.Listing = 404, standin.JobListing{}
			e.Jobs = append(e.Jobs, gone)
		}},
		{"a result that was read is gone", "kept", func(e *soak.Evidence) { e.Jobs = append(e.Jobs, read(1, 5000)) }},
		{"a leaving server gets work", "leaving", func(e *soak.Evidence) { e.Runs = append(e.Runs, ran("x", "server-0", 63_500)) }},
		{"work for nobody", "left running", func(e *soak.Evidence) { e.StillRunning = 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := sound()
			tc.harm(e)
			rules := make(map[string]bool)
			for _, v := range soak.Check(e) {
				rules[v.Rule] = true
			}
			qt.Assert(t, rules, qt.DeepEquals, map[string]bool{tc.rule: true})
		})
	}
}

// TestSamePlan: a seed always plays the same troubles, and all kinds come up.
func TestSamePlan(t *testing.T) {
	c := qt.New(t)
	c.Assert(soak.NewPlan(7, time.Minute).String(), qt.Equals, soak.NewPlan(7, time.Minute).String())
	c.Assert(soak.NewPlan(7, time.Minute).String(), qt.Not(qt.Equals), soak.NewPlan(8, time.Minute).String())
	seen := make(map[soak.FaultKind]bool)
	for _, e := range soak.NewPlan(1, 10*time.Minute) {
		seen[e.Kind] = true
	}
	c.Assert(len(seen), qt.Equals, len(soak.FaultKinds()))
}
