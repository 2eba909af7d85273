// Package measure compares latency and throughput of fleets with different settings.
package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenalab/internal/fleet"
	"verbenaledge.example/verbenalab/internal/load"
)

const rulesText = `service model kind=model # asked by the lab
allow archive model rate=1000/s burst=2000 batch=1 # asked by the lab
allow desk model rate=1000/s burst=2000 # asked by the lab
`

const (
	model         = "model"
	itemCount     = 60_000
	itemTokens    = 24
	burstInterval = 6 * time.Second
	burstLength   = 2 * time.Second
	baseRate      = 20.0  // requests per second
	burstRate     = 150.0 // requests per second
	// warmUpTime is the time between the submission of the batch and the start of the trace.
	warmUpTime = 4 * time.Second
)

// Policies holds the batch settings of the policies that can be compared, by policy name. Empty settings are the defaults,
// under which batch items yield to online requests.
var Policies = map[string]map[string]any{
	// The naive policy: a fixed number of slots, independent of the online load.
	"fixed": {"fixed_slots": 16},
	"yield": {},
	"pack2": {},
	"pack3": {},
	"pack4": {},
}

// packSettings holds the setting backend.pack of the policies that also concentrate online requests on few servers.
var packSettings = map[string]int{"pack2": 2, "pack3": 3, "pack4": 4}

// CompareBatchPolicies replays the same trace of online requests without a batch, then with one under each policy, on a
// fleet of the size of a deployment. It prints the latency of the online answers and the throughput of the batch.
func CompareBatchPolicies(ctx context.Context, programsDir string, duration time.Duration, seed uint64, policies []string) (err error) {
	e := experiment{programsDir: programsDir, duration: duration, seed: seed}
	baseline, err := e.run(ctx)
	if err != nil {
		return err
	}
	printResult("no batch", baseline, baseline)
	e.withBatch = true
	for _, p := range policies {
		e.batchSettings, e.pack = Policies[p], packSettings[p]
		res, err := e.run(ctx)
		if err != nil {
			return err
		}
		printResult(p, res, baseline)
	}
	return nil
}

// experiment describes one run of the trace.
type experiment struct {
	programsDir   string
	duration      time.Duration
	seed          uint64
	batchSettings map[string]any
	withBatch     bool
	pack          int
}

// result holds the measurements of a run.
type result struct {
	load.Summary
	itemsPerSecond float64
}

// printResult prints a result and the ratios of its p99 latencies to those of the run without a batch.
func printResult(name string, res, baseline result) {
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	fmt.Printf("%-9s answered %d, refused %v, first token p95 %s p99 %s (%.2f of baseline), between tokens p95 %s p99 %s (%.2f), batch %.1f items/s\n",
		name, res.Completed, res.Refused,
		round(res.TimeToFirstToken.P95), round(res.TimeToFirstToken.P99), ratio(res.TimeToFirstToken.P99, baseline.TimeToFirstToken.P99),
		round(res.TokenGaps.P95), round(res.TokenGaps.P99), ratio(res.TokenGaps.P99, baseline.TokenGaps.P99), res.itemsPerSecond)
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// run starts a fleet, replays the trace on it and measures the answers.
func (e experiment) run(ctx context.Context) (res result, err error) {
	dir, err := os.MkdirTemp("", "verbenaledge-harm-")
	if err != nil {
		return res, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // only logs are left behind
	f, err := fleet.Start(fleet.Config{
		ProgramsDir: e.programsDir, Dir: dir, Daemons: 9, Engines: map[ids.ServiceName]int{model: 9},
		Services: map[ids.ServiceName]int{"registry": 3}, Zones: []ids.ZoneID{"z1", "z2", "z3"},
		Settings: map[string]any{"batch": e.batchSettings, "backend": map[string]any{"pack": e.pack}},
	})
	if err != nil {
		return res, err
	}
	defer f.Close()
	rules := filepath.Join(dir, "harm.rules")
	if err := os.WriteFile(rules, []byte(rulesText), 0o600); err != nil {
		return res, err
	}
	if _, err := f.Verbenactl(ctx, "rules", "apply", rules); err != nil {
		return res, err
	}
	keys := map[string]string{}
	for _, w := range []string{"archive", "desk"} {
		if keys[w], err = f.IssueKey(ctx, w); err != nil {
			return res, err
		}
	}
	targets := make([]load.Target, 0, len(f.Hosts))
	for _, h := range f.Hosts {
		targets = append(targets, load.Target{CallerAddress: h.CallerAddress, AdminAddress: h.AdminAddress, Weight: 1})
	}
	b := load.NewBalancer(targets)
	go b.Run(ctx)
	caller := load.NewCaller(b)
	job := load.Batch{}
	if e.withBatch {
		if job, err = submitBatch(ctx, caller, keys["archive"]); err != nil {
			return res, err
		}
	}
	clock.Sleep(ctx, warmUpTime)
	before := completedItems(ctx, caller, keys["archive"], job)
	start := time.Now()
	res.Summary = runTrace(ctx, caller, keys["desk"], e.duration, e.seed)
	after := completedItems(ctx, caller, keys["archive"], job)
	res.itemsPerSecond = float64(after-before) / time.Since(start).Seconds()
	return res, nil
}

func submitBatch(ctx context.Context, c *load.Caller, key string) (b load.Batch, err error) {
	var input strings.Builder
	for i := range itemCount {
		fmt.Fprintf(&input, `{"custom_id":"i-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"model","max_tokens":%d,`+
			`"messages":[{"role":"user","content":"Entry %d."}]}}`+"\n", i, itemTokens, i)
	}
	file, err := c.Upload(ctx, key, []byte(input.String()))
	if err != nil {
		return b, err
	}
	return c.Submit(ctx, key, file, "harm", "1h")
}

// completedItems returns how many items of a job are completed, or 0 if there is no job or it can't be read.
func completedItems(ctx context.Context, c *load.Caller, key string, b load.Batch) int {
	if b.ID == "" {
		return 0
	}
	batch, err := c.Status(ctx, key, b.ID)
	if err != nil {
		return 0
	}
	return batch.Counts.Completed
}

// runTrace sends seeded open-loop load: requests at the base rate, with regular bursts at the burst rate.
func runTrace(ctx context.Context, c *load.Caller, key string, duration time.Duration, seed uint64) load.Summary {
	random := rand.New(rand.NewPCG(seed, seed))
	tally := load.NewTally()
	var wg sync.WaitGroup
	start := time.Now()
	for at, n := time.Duration(0), 0; at < duration; n++ {
		rate := baseRate
		if at%burstInterval < burstLength {
			rate = burstRate
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		clock.Sleep(ctx, time.Until(start.Add(at)))
		request := load.ChatRequest{Workspace: "desk", Key: key, Model: model, MaxTokens: 16 + random.IntN(32), Prompt: fmt.Sprint("price of grade ", n)}
		wg.Go(func() { tally.Add(c.Chat(ctx, request)) })
	}
	wg.Wait()
	return tally.Summary()
}
