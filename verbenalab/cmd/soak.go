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

// errBroken ends a soak that found broken promises.
var errBroken = errors.New("promises were broken; the seeds above play them again")

type soakCommand struct {
	Seed  uint64        `long:"seed" default:"1" description:"seed of the first run; the same seed plays the same plan"`
	Count int           `long:"count" default:"1" description:"runs, with one seed after another"`
	For   time.Duration `long:"for" default:"15s" description:"how long troubles begin in each run"`
	Jobs  int           `long:"jobs" default:"2" description:"runs at once; each has five processes"`
	Keep  string        `long:"keep" description:"folder to keep settings and logs of the runs in"`
	Plan  bool          `long:"plan" description:"print the plans and run nothing"`
}

// Execute plays runs and prints what they found.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := interrupted()
	defer stop()
	programs, err := ownFolder()
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
		group.SubmitErr(func() (bool, error) { return c.play(ctx, programs, seed, n) })
	}
	results, err := group.Wait()
	if err != nil {
		return err
	}
	broken := 0
	for _, sound := range results {
		if !sound {
			broken++
		}
	}
	fmt.Printf("%d runs, %d with broken promises\n", len(results), broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// play runs one seed. Runs that are on their way at once have addresses of their own.
func (c *soakCommand) play(ctx context.Context, programs string, seed uint64, n int) (sound bool, err error) {
	dir := filepath.Join(c.Keep, fmt.Sprint(seed))
	if c.Keep == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return false, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a folder of the system's for temporary files
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	subnet := fmt.Sprintf("%d.%d", 64+os.Getpid()%128, 1+n%250)
	r, err := soak.Run(ctx, soak.Options{Programs: programs, Dir: dir, Seed: seed, Duration: c.For, Subnet: subnet})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d troubles, answers by status %v, %d jobs whole, %d broken promises\n",
		seed, len(r.Plan), r.Statuses, r.Jobs, len(r.Violations))
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
