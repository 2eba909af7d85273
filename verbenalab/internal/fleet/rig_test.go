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
)

const (
	programs = "../../../bin"
	model    = "model"
	plain    = "ledger"
	// batchSpace is the workspace whose batches the tests run.
	batchSpace = "archive"
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

// rig is a fleet with rules and keys, and a caller for it.
type rig struct {
	*fleet.Fleet
	*qt.C
	ctx    context.Context
	dir    string
	caller *load.Caller
	keys   map[string]string
	keyIDs map[string]string
}

// rigOption changes a rig's fleet before it starts.
type rigOption func(*fleet.Config)

func daemons(n int) rigOption { return func(c *fleet.Config) { c.Daemons = n } }

func engines(n int, args ...string) rigOption {
	return func(c *fleet.Config) {
		c.Engines = map[ids.ServiceName]int{model: n}
		c.EngineArgs = args
	}
}

func relays(c *fleet.Config) { c.Relays = true }

func setting(section string, fields map[string]any) rigOption {
	return func(c *fleet.Config) {
		merged, _ := c.Settings[section].(map[string]any)
		if merged == nil {
			merged = map[string]any{}
		}
		maps.Copy(merged, fields)
		c.Settings[section] = merged
	}
}

func newRig(t *testing.T, opts ...rigOption) *rig {
	c := qt.New(t)
	config := fleet.Config{
		Programs: programs, Dir: t.TempDir(), Daemons: 3,
		Zones:    []ids.ZoneID{"zone-1", "zone-2", "zone-3"},
		Engines:  map[ids.ServiceName]int{model: 3},
		Services: map[ids.ServiceName]int{plain: 2, "notice": 1},
		Settings: map[string]any{
			// A short lease keeps the tests short; the order of lengths is as by default.
			"lease":    map[string]any{"duration": "2s", "renew": "500ms", "margin": "200ms"},
			"timeline": map[string]any{"admissions": true},
		},
	}
	for _, o := range opts {
		o(&config)
	}
	f, err := fleet.Start(config)
	c.Assert(err, qt.IsNil, qt.Commentf("are the programs built? `make build`"))
	t.Cleanup(func() {
		if t.Failed() {
			showLogs(t, config.Dir)
		}
		f.Close()
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r := &rig{Fleet: f, C: c, ctx: ctx, dir: config.Dir, keys: map[string]string{}, keyIDs: map[string]string{}}
	r.applyRules(rulesText)
	for _, w := range []string{"archive", "museum", "desk"} {
		key, id, err := f.IssueKeyID(ctx, w)
		c.Assert(err, qt.IsNil)
		r.keys[w], r.keyIDs[w] = key, id
	}
	targets := make([]load.Target, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		targets = append(targets, load.Target{Caller: h.Caller, Admin: h.Admin, Weight: 1})
	}
	b := load.NewBalancer(targets)
	go b.Run(ctx)
	r.caller = load.NewCaller(b)
	return r
}

func showLogs(t *testing.T, dir string) {
	t.Helper()
	const lines = 12
	files, _ := filepath.Glob(filepath.Join(dir, "host-*.log"))
	more, _ := filepath.Glob(filepath.Join(dir, "*.timeline.jsonl"))
	for _, name := range append(files, more...) {
		data, _ := os.ReadFile(name)
		all := strings.Split(strings.TrimSpace(string(data)), "\n")
		t.Logf("%s:\n%s", filepath.Base(name), strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
}

func (r *rig) applyRules(text string) {
	file := filepath.Join(r.dir, "town.rules")
	r.Assert(os.WriteFile(file, []byte(text), 0o644), qt.IsNil)
	_, err := r.Operate(r.ctx, "rules", "apply", file)
	r.Assert(err, qt.IsNil)
}

// ask sends a question of a workspace to a host, or to any.
func (r *rig) ask(h *fleet.Host, workspace, prompt string) load.Answer {
	q := load.Request{Workspace: workspace, Key: r.keys[workspace], Model: model, Prompt: prompt, MaxTokens: 8}
	if h != nil {
		q.Host = h.Caller
	}
	return r.caller.Ask(r.ctx, q)
}

// eventually waits for a condition within a promise's bound.
func (r *rig) eventually(bound time.Duration, what string, ok func() bool) time.Duration {
	start := time.Now()
	for !ok() {
		if time.Since(start) > bound {
			r.Fatalf("not within %s: %s", bound, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// items makes an input file with items of some tokens each.
func items(name string, n, tokens int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"%s-%05d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,`+
			`"messages":[{"role":"user","content":"Entry %d of %s."}]}}`+"\n", name, i, model, tokens, i, name)
	}
	return []byte(b.String())
}

// submit uploads a file and makes a job of it.
func (r *rig) submit(name string, n, tokens int) load.Batch {
	file, err := r.caller.Upload(r.ctx, r.keys[batchSpace], items(name, n, tokens))
	r.Assert(err, qt.IsNil)
	b, err := r.caller.Submit(r.ctx, r.keys[batchSpace], file, name, "10m")
	r.Assert(err, qt.IsNil)
	return b
}

// finish waits for a job's end and checks that each item is in the results once.
func (r *rig) finish(b load.Batch, name string, n int) {
	ctx, cancel := context.WithTimeout(r.ctx, jobLimit)
	defer cancel()
	done, err := r.caller.Await(ctx, r.keys[batchSpace], b.ID)
	r.Assert(err, qt.IsNil, qt.Commentf("%d of %d items", done.Counts.Completed, n))
	r.Assert(done.Status, qt.Equals, "completed")
	r.checkOutput(done, name, n)
}

func (r *rig) checkOutput(done load.Batch, name string, n int) {
	lines, err := r.caller.Output(r.ctx, r.keys[batchSpace], done.OutputFileID)
	r.Assert(err, qt.IsNil)
	seen := map[string]int{}
	for _, l := range lines {
		seen[l.CustomID]++
		r.Check(l.Error, qt.IsNil)
	}
	missing, doubled := 0, 0
	for i := range n {
		switch seen[fmt.Sprintf("%s-%05d", name, i)] {
		case 0:
			missing++
		case 1:
		default:
			doubled++
		}
	}
	r.Assert(len(lines), qt.Equals, n)
	r.Assert(missing, qt.Equals, 0)
	r.Assert(doubled, qt.Equals, 0)
}

func (r *rig) progress(b load.Batch) int {
	now, err := r.caller.Show(r.ctx, r.keys[batchSpace], b.ID)
	r.Assert(err, qt.IsNil)
	return now.Counts.Completed
}

// ownerOf returns the daemon that holds an open job.
func (r *rig) ownerOf(b load.Batch) *fleet.Host {
	var owner *fleet.Host
	r.eventually(10*time.Second, "a daemon holds the job", func() bool {
		for _, h := range r.Hosts {
			var jobs []struct {
				ID string `json:"id"`
			}
			if h.Exited() || r.Admin(h, "/admin/jobs", &jobs) != nil {
				continue
			}
			for _, j := range jobs {
				if j.ID == b.ID {
					owner = h
					return true
				}
			}
		}
		return false
	})
	return owner
}

// ledger is what a stand-in has run and seen.
type ledger struct {
	Ran     []string `json:"ran"`
	Runs    []run    `json:"runs"`
	Leaks   int      `json:"leaks"`
	Crashes int      `json:"crashes"`
}

type run struct {
	Request string `json:"request"`
	Body    string `json:"body"`
}

// ledgerOf reads a stand-in's ledger, once it is back from a crash.
func (r *rig) ledgerOf(b *fleet.Backend) (l ledger) {
	r.eventually(10*time.Second, "the ledger of "+string(b.ID), func() bool { return r.Ledger(b, &l) == nil })
	return l
}

// ledgers returns the ids of all requests that any stand-in has run.
func (r *rig) ledgers() (ran map[string]int, leaks int) {
	ran = map[string]int{}
	for _, b := range r.Backends {
		l := r.ledgerOf(b)
		leaks += l.Leaks
		for _, id := range l.Ran {
			ran[trimAttempt(id)]++
		}
		for _, x := range l.Runs {
			ran[trimAttempt(x.Request)]++
		}
	}
	return ran, leaks
}

// trimAttempt drops the number of the attempt from a request's id.
func trimAttempt(id string) string {
	if at := strings.LastIndex(id, "."); at >= 0 {
		return id[:at]
	}
	return id
}

// checkTruth checks answers against the ledgers: what was refused as not run must
// not have run, and no backend server has seen a key.
func (r *rig) checkTruth(answers []load.Answer) {
	ran, leaks := r.ledgers()
	r.Assert(leaks, qt.Equals, 0)
	notRun := 0
	for _, a := range answers {
		if a.Run == "not_run" {
			notRun++
			r.Check(ran[a.RequestID], qt.Equals, 0, qt.Commentf("%s said not_run (%s) and ran", a.RequestID, a.Code))
		}
	}
	r.Logf("%d answers, %d refused as not run, codes %v", len(answers), notRun, codes(answers))
}

func codes(answers []load.Answer) map[string]int {
	m := map[string]int{}
	for _, a := range answers {
		m[a.Code]++
	}
	return m
}

// collect gathers answers of many goroutines.
type collect struct {
	mu      sync.Mutex
	wg      sync.WaitGroup
	answers []load.Answer
}

func (c *collect) add(ask func() load.Answer) {
	c.wg.Go(func() {
		a := ask()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	})
}

func (c *collect) all() []load.Answer {
	c.wg.Wait()
	return c.answers
}

// noKeyInFiles looks for keys in what the daemons have written.
func (r *rig) noKeyInFiles() {
	for _, pattern := range []string{"host-*.log", "*.timeline.jsonl"} {
		files, err := filepath.Glob(filepath.Join(r.dir, pattern))
		r.Assert(err, qt.IsNil)
		for _, name := range files {
			data, err := os.ReadFile(name)
			r.Assert(err, qt.IsNil)
			for _, key := range r.keys {
				r.Check(strings.Contains(string(data), key), qt.IsFalse, qt.Commentf("%s holds a key", name))
			}
		}
	}
}
