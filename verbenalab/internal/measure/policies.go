// Package measure runs fleets of processes and reads what they reach.
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
	baseRate      = 20.0
	burstRate     = 150.0
)

// Policies are the ways of giving way that are compared, as daemon settings.
var Policies = map[string]map[string]any{
	// The naive version: a fixed number of slots, whatever online work there is.
	"fixed": {"fixed_slots": 16},
	"yield": {},
	"pack2": {},
	"pack3": {},
	"pack4": {},
}

// packs are the policies that also fill servers with online requests.
var packSettings = map[string]int{"pack2": 2, "pack3": 3, "pack4": 4}

// Harm runs the same online trace without and with a batch beside it, at the size
// of a deployment, and prints the delay of online answers and the batch's rate.
func CompareBatchPolicies(ctx context.Context, programsDir string, duration time.Duration, seed uint64, policies []string) (err error) {
	r := run{programsDir: programsDir, duration: duration, seed: seed}
	baseline, err := r.measure(ctx)
	if err != nil {
		return err
	}
	printResult("no batch", baseline, baseline)
	r.withBatch = true
	for _, p := range policies {
		r.settings, r.pack = Policies[p], packSettings[p]
		r, err := r.measure(ctx)
		if err != nil {
			return err
		}
		printResult(p, r, baseline)
	}
	return nil
}

// harm is one run of the trace.
type run struct {
	programsDir string
	duration    time.Duration
	seed        uint64
	settings    map[string]any
	withBatch   bool
	pack        int
}

// result is what a run has measured.
type result struct {
	load.Summary
	itemsPerSecond float64
}

func printResult(name string, res, baseline result) {
	ratio := func(a, b time.Duration) float64 { return float64(a) / float64(b) }
	fmt.Printf("%-9s answered %d, refused %v, first token p95 %s p99 %s (%.2f of quiet), between tokens p95 %s p99 %s (%.2f), batch %.1f items/s\n",
		name, res.Completed, res.Refused, round(res.TimeToFirstToken.P95), round(res.TimeToFirstToken.P99), ratio(res.TimeToFirstToken.P99, baseline.TimeToFirstToken.P99),
		round(res.TokenGaps.P95), round(res.TokenGaps.P99), ratio(res.TokenGaps.P99, baseline.TokenGaps.P99), res.itemsPerSecond)
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func (r run) measure(ctx context.Context) (res result, err error) {
	dir, err := os.MkdirTemp("", "verbenaledge-harm-")
	if err != nil {
		return res, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // only logs are left behind
	f, err := fleet.Start(fleet.Config{
		ProgramsDir: r.programsDir, Dir: dir, Daemons: 9, Engines: map[ids.ServiceName]int{model: 9},
		Services: map[ids.ServiceName]int{"registry": 3}, Zones: []ids.ZoneID{"z1", "z2", "z3"},
		Settings: map[string]any{"batch": r.settings, "backend": map[string]any{"pack": r.pack}},
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
	if r.withBatch {
		if job, err = submitBatch(ctx, caller, keys["archive"]); err != nil {
			return res, err
		}
	}
	clock.Sleep(ctx, 4*time.Second)
	before := completedItems(ctx, caller, keys["archive"], job)
	start := time.Now()
	res.Summary = runTrace(ctx, caller, keys["desk"], r.duration, r.seed)
	after := completedItems(ctx, caller, keys["archive"], job)
	res.itemsPerSecond = float64(after-before) / time.Since(start).Seconds()
	return res, nil
}

func submitBatch(ctx context.Context, c *load.Caller, key string) (b load.Batch, err error) {
	var text strings.Builder
	for i := range itemCount {
		fmt.Fprintf(&text, `{"custom_id":"i-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"model","max_tokens":%d,`+
			`"messages":[{"role":"user","content":"Entry %d."}]}}`+"\n", i, itemTokens, i)
	}
	file, err := c.Upload(ctx, key, []byte(text.String()))
	if err != nil {
		return b, err
	}
	return c.Submit(ctx, key, file, "harm", "1h")
}

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

// trace sends a seeded open-loop load: a low rate with bursts of a few seconds.
func runTrace(ctx context.Context, c *load.Caller, key string, d time.Duration, seed uint64) load.Summary {
	random := rand.New(rand.NewPCG(seed, seed))
	tally := load.NewTally()
	var wg sync.WaitGroup
	start := time.Now()
	for at, n := time.Duration(0), 0; at < d; n++ {
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
