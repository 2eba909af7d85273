package fleet_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
	"verbenaledge.example/verbenalab/internal/process"
)

const (
	programsDir  = "../../../bin"
	model        = "model"
	plainService = "ledger"
	// batchWorkspace is the workspace whose batches the tests run.
	batchWorkspace = "archive"
)

const rulesText = `service model kind=model    # asked by the tests
service ledger kind=plain   # asked by the tests
service notice kind=plain   # asked by the tests
allow archive model rate=400/s burst=800 batch=2  # asked by the tests
allow museum model rate=400/s burst=800 batch=1   # asked by the tests
allow desk model rate=10/s burst=20               # asked by the tests
allow archive ledger rate=200/s burst=400         # asked by the tests
open notice rate=5/s burst=10                     # asked by the tests
`

// testFleet is a running fleet with rules and API keys, and a caller that sends requests to it.
type testFleet struct {
	*fleet.Fleet
	*qt.C
	ctx    context.Context
	dir    string
	caller *load.Caller
	keys   map[string]string
	keyIDs map[string]string
}

// fleetOption changes a fleet's configuration before it starts.
type fleetOption func(*fleet.Config)

func withDaemons(n int) fleetOption { return func(c *fleet.Config) { c.Daemons = n } }

func withEngines(n int, args ...string) fleetOption {
	return func(c *fleet.Config) {
		c.Engines = map[ids.ServiceName]int{model: n}
		c.EngineArgs = args
	}
}

func withRelays(c *fleet.Config) { c.Relays = true }

func withSettings(section string, fields map[string]any) fleetOption {
	return func(c *fleet.Config) {
		merged, _ := c.Settings[section].(map[string]any)
		if merged == nil {
			merged = map[string]any{}
		}
		maps.Copy(merged, fields)
		c.Settings[section] = merged
	}
}

func newTestFleet(t *testing.T, opts ...fleetOption) *testFleet {
	checker := qt.New(t)
	config := fleet.Config{
		ProgramsDir: programsDir, Dir: t.TempDir(), Daemons: 3,
		Zones:    []ids.ZoneID{"zone-1", "zone-2", "zone-3"},
		Engines:  map[ids.ServiceName]int{model: 3},
		Services: map[ids.ServiceName]int{plainService: 2, "notice": 1},
		Settings: map[string]any{
			// A short lease shortens the tests. The order duration > renew > margin is that of the defaults.
			"lease":    map[string]any{"duration": "2s", "renew": "500ms", "margin": "200ms"},
			"timeline": map[string]any{"admissions": true},
		},
	}
	for _, o := range opts {
		o(&config)
	}
	started, err := fleet.Start(config)
	checker.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	t.Cleanup(func() {
		if t.Failed() {
			logTails(t, config.Dir)
		}
		started.Close()
		checkNoCrash(checker, config.Dir)
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &testFleet{Fleet: started, C: checker, ctx: ctx, dir: config.Dir, keys: map[string]string{}, keyIDs: map[string]string{}}
	f.applyRules(rulesText)
	for _, w := range []string{"archive", "museum", "desk"} {
		key, id, err := started.IssueKeyWithID(ctx, w)
		checker.Assert(err, qt.IsNil)
		f.keys[w], f.keyIDs[w] = key, id
	}
	targets := make([]load.Target, 0, len(started.Hosts))
	for _, h := range started.Hosts {
		targets = append(targets, load.Target{CallerAddress: h.CallerAddress, AdminAddress: h.AdminAddress, Weight: 1})
	}
	balancer := load.NewBalancer(targets)
	go balancer.Run(ctx)
	f.caller = load.NewCaller(balancer)
	return f
}

// checkNoCrash checks that no process of a fleet has written a crash report.
func checkNoCrash(c *qt.C, dir string) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	c.Check(err, qt.IsNil)
	c.Check(files, qt.Not(qt.HasLen), 0)
	for _, n := range files {
		reports, err := process.CrashReports(n, 0)
		c.Check(err, qt.IsNil)
		c.Check(reports, qt.HasLen, 0, qt.Commentf("%s", filepath.Base(n)))
	}
}

// logTails logs the last lines of the daemons' logs and timelines.
func logTails(t *testing.T, dir string) {
	t.Helper()
	const maxLines = 12
	files, _ := filepath.Glob(filepath.Join(dir, "host-*.log"))
	timelines, _ := filepath.Glob(filepath.Join(dir, "*.timeline.jsonl"))
	for _, n := range append(files, timelines...) {
		data, _ := os.ReadFile(n)
		all := strings.Split(strings.TrimSpace(string(data)), "\n")
		t.Logf("%s:\n%s", filepath.Base(n), strings.Join(all[max(0, len(all)-maxLines):], "\n"))
	}
}

func (f *testFleet) applyRules(text string) {
	file := filepath.Join(f.dir, "test.rules")
	f.Assert(os.WriteFile(file, []byte(text), 0o644), qt.IsNil)
	_, err := f.Verbenactl(f.ctx, "rules", "apply", file)
	f.Assert(err, qt.IsNil)
}

// chat sends a chat request of a workspace to a host, or to any host if h is nil.
func (f *testFleet) chat(h *fleet.Host, workspace, prompt string) load.Answer {
	request := load.ChatRequest{Workspace: workspace, Key: f.keys[workspace], Model: model, Prompt: prompt, MaxTokens: 8}
	if h != nil {
		request.CallerAddress = h.CallerAddress
	}
	return f.caller.Chat(f.ctx, request)
}

// eventually waits for a condition and returns how long it took. It fails the test if that exceeds the limit.
func (f *testFleet) eventually(limit time.Duration, description string, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			f.Fatalf("not within %s: %s", limit, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// batchInput returns an input file with n items that ask for a number of tokens each.
func batchInput(name string, n, tokens int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"%s-%05d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,`+
			`"messages":[{"role":"user","content":"Entry %d of %s."}]}}`+"\n", name, i, model, tokens, i, name)
	}
	return []byte(b.String())
}

// submitBatch uploads an input file and submits it as a job.
func (f *testFleet) submitBatch(name string, n, tokens int) load.Batch {
	file, err := f.caller.Upload(f.ctx, f.keys[batchWorkspace], batchInput(name, n, tokens))
	f.Assert(err, qt.IsNil)
	b, err := f.caller.Submit(f.ctx, f.keys[batchWorkspace], file, name, "10m")
	f.Assert(err, qt.IsNil)
	return b
}

// awaitResults waits for a job's completion and checks that each item is in the results once.
func (f *testFleet) awaitResults(b load.Batch, name string, n int) {
	ctx, cancel := context.WithTimeout(f.ctx, jobTimeout)
	defer cancel()
	done, err := f.caller.AwaitEnd(ctx, f.keys[batchWorkspace], b.ID)
	f.Assert(err, qt.IsNil, qt.Commentf("%d of %d items", done.Counts.Completed, n))
	f.Assert(done.Status, qt.Equals, "completed")
	f.checkOutput(done, name, n)
}

// checkOutput checks that each item of a completed job is in its output file once and without an error.
func (f *testFleet) checkOutput(done load.Batch, name string, n int) {
	lines, err := f.caller.Output(f.ctx, f.keys[batchWorkspace], done.OutputFileID)
	f.Assert(err, qt.IsNil)
	seen := map[string]int{}
	for _, l := range lines {
		seen[l.CustomID]++
		f.Check(l.Error, qt.IsNil)
	}
	missing, duplicated := 0, 0
	for i := range n {
		switch seen[fmt.Sprintf("%s-%05d", name, i)] {
		case 0:
			missing++
		case 1:
		default:
			duplicated++
		}
	}
	f.Assert(len(lines), qt.Equals, n)
	f.Assert(missing, qt.Equals, 0)
	f.Assert(duplicated, qt.Equals, 0)
}

// completedItems returns how many items of a job are completed.
func (f *testFleet) completedItems(b load.Batch) int {
	batch, err := f.caller.Status(f.ctx, f.keys[batchWorkspace], b.ID)
	f.Assert(err, qt.IsNil)
	return batch.Counts.Completed
}

// ownerOf returns the daemon that owns an open job.
func (f *testFleet) ownerOf(b load.Batch) (owner *fleet.Host) {
	f.eventually(10*time.Second, "a daemon owns the job", func() bool {
		owner = f.findOwner(b)
		return owner != nil
	})
	return owner
}

// findOwner returns the daemon that owns an open job at present, nil if none does.
func (f *testFleet) findOwner(b load.Batch) *fleet.Host {
	for _, h := range f.Hosts {
		var jobs []struct {
			ID string `json:"id"`
		}
		if h.Exited() || f.ReadAdmin(h, "/admin/jobs", &jobs) != nil {
			continue
		}
		for _, j := range jobs {
			if j.ID == b.ID {
				return h
			}
		}
	}
	return nil
}

// ledger is what a backend server's stand-in has recorded: engines fill Ran, plain services fill Runs.
type ledger struct {
	Ran     []string    `json:"ran"`
	Runs    []ledgerRun `json:"runs"`
	Leaks   int         `json:"leaks"`
	Crashes int         `json:"crashes"`
}

type ledgerRun struct {
	Request string `json:"request"`
	Body    string `json:"body"`
}

// ledgerOf reads a stand-in's ledger. If the stand-in has crashed, it waits until it runs again.
func (f *testFleet) ledgerOf(b *fleet.Backend) (l ledger) {
	f.eventually(10*time.Second, "the ledger of "+string(b.ID), func() bool { return f.ReadLedger(b, &l) == nil })
	return l
}

// allRuns counts the runs of each request over all stand-ins, and the API keys that they have received.
func (f *testFleet) allRuns() (runs map[string]int, leaks int) {
	runs = map[string]int{}
	for _, b := range f.Backends {
		l := f.ledgerOf(b)
		leaks += l.Leaks
		for _, id := range l.Ran {
			runs[trimAttempt(id)]++
		}
		for _, r := range l.Runs {
			runs[trimAttempt(r.Request)]++
		}
	}
	return runs, leaks
}

// trimAttempt removes the attempt number from a request's ID.
func trimAttempt(id string) string {
	if at := strings.LastIndex(id, "."); at >= 0 {
		return id[:at]
	}
	return id
}

// checkLedgers checks answers against the stand-ins' ledgers: a request that was refused as not run must not have run,
// and no backend server may have received an API key.
func (f *testFleet) checkLedgers(answers []load.Answer) {
	runs, leaks := f.allRuns()
	f.Assert(leaks, qt.Equals, 0)
	notRun := 0
	for _, a := range answers {
		if a.Run == "not_run" {
			notRun++
			f.Check(runs[a.RequestID], qt.Equals, 0, qt.Commentf("%s said not_run (%s) and ran", a.RequestID, a.Code))
		}
	}
	f.Logf("%d answers, %d refused as not run, codes %v", len(answers), notRun, countCodes(answers))
}

// countCodes counts answers by their code, which is empty for a complete answer.
func countCodes(answers []load.Answer) map[string]int {
	m := map[string]int{}
	for _, a := range answers {
		m[a.Code]++
	}
	return m
}

// answerCollector collects answers of concurrent requests.
type answerCollector struct {
	mu      sync.Mutex
	wg      sync.WaitGroup
	answers []load.Answer
}

// collect calls send in a new goroutine and stores its answer.
func (c *answerCollector) collect(send func() load.Answer) {
	c.wg.Go(func() {
		a := send()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	})
}

// wait waits for all answers and returns them.
func (c *answerCollector) wait() []load.Answer {
	c.wg.Wait()
	return c.answers
}

// checkNoKeyInFiles checks that the daemons' logs and timelines contain no API key.
func (f *testFleet) checkNoKeyInFiles() {
	for _, p := range []string{"host-*.log", "*.timeline.jsonl"} {
		files, err := filepath.Glob(filepath.Join(f.dir, p))
		f.Assert(err, qt.IsNil)
		for _, n := range files {
			data, err := os.ReadFile(n)
			f.Assert(err, qt.IsNil)
			for _, k := range f.keys {
				f.Check(strings.Contains(string(data), k), qt.IsFalse, qt.Commentf("%s holds a key", n))
			}
		}
	}
}
