package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alitto/pond/v2"

	"verbenaledge.example/verbenalab/internal/soak"
)

// errViolations is returned if a run found violations.
var errViolations = errors.New("there were violations; run their seeds again to reproduce them")

type soakCommand struct {
	Seed  uint64        `long:"seed" default:"1" description:"seed of the first run; a seed determines the plan of faults"`
	Count int           `long:"count" default:"1" description:"number of runs, with consecutive seeds"`
	For   time.Duration `long:"for" default:"15s" description:"time in each run during which faults begin"`
	Jobs  int           `long:"jobs" default:"2" description:"number of simultaneous runs, each with five processes"`
	Keep  string        `long:"keep" description:"folder for settings and logs of the runs; default: new ones that are removed at the end"`
	Plan  bool          `long:"plan" description:"print the plans without running them"`
}

// Execute runs the seeds and prints the violations.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	programsDir, err := executableDir()
	if err != nil {
		return err
	}
	pool := pond.NewResultPool[bool](max(1, c.Jobs))
	group := pool.NewGroup()
	for n := range c.Count {
		seed := c.Seed + uint64(n)
		if c.Plan {
			fmt.Printf("seed %d\n%s", seed, soak.NewPlan(seed, c.For))
			continue
		}
		group.SubmitErr(func() (bool, error) { return c.runSeed(ctx, programsDir, seed, n) })
	}
	results, err := group.Wait()
	if err != nil {
		return err
	}
	failed := 0
	for _, ok := range results {
		if !ok {
			failed++
		}
	}
	fmt.Printf("%d runs, %d with violations\n", len(results), failed)
	if failed > 0 {
		return errViolations
	}
	return nil
}

// runSeed runs the plan of one seed. Simultaneous runs use separate addresses.
func (c *soakCommand) runSeed(ctx context.Context, programsDir string, seed uint64, n int) (passed bool, err error) {
	dir := filepath.Join(c.Keep, fmt.Sprint(seed))
	if c.Keep == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return false, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a failure leaves only temporary files behind
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	subnet := fmt.Sprintf("%d.%d", 64+os.Getpid()%128, 1+n%250)
	r, err := soak.Run(ctx, soak.Options{ProgramsDir: programsDir, Dir: dir, Seed: seed, Duration: c.For, Subnet: subnet})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, answers by status %v, %d of %d take-ups served, %d jobs complete, %d violations\n",
		seed, len(r.Plan), r.Statuses, r.TakeUpsServed, r.TakeUps, r.Jobs, len(r.Violations))
	if len(r.Violations) > 0 {
		fmt.Print(r.Plan)
	}
	for _, v := range r.Violations[:min(10, len(r.Violations))] {
		fmt.Println(" ", v)
	}
	for _, l := range r.LogLines {
		fmt.Println("   ", l)
	}
	return len(r.Violations) == 0, nil
}
