package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"verbenaledge.example/verbenalab/internal/soak"
)

type recoverCommand struct {
	Jobs int    `long:"jobs" default:"3" description:"fleets at once; each has five processes"`
	Keep string `long:"keep" description:"folder to keep settings and logs in"`
}

// Execute plays each trouble alone and prints what it cost callers.
func (c *recoverCommand) Execute([]string) (err error) {
	ctx, stop := interrupted()
	defer stop()
	programs, err := ownFolder()
	if err != nil {
		return err
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "recover"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a folder of the system's for temporary files
	}
	fmt.Println("trouble              at              asked lost first_second back_after_ms slowest_ms")
	parts := make([][]soak.FaultKind, max(1, c.Jobs))
	for n, k := range soak.FaultKinds() {
		parts[n%len(parts)] = append(parts[n%len(parts)], k)
	}
	var all sync.WaitGroup
	failed := make([]error, len(parts))
	for n, kinds := range parts {
		all.Go(func() { failed[n] = c.measure(ctx, programs, filepath.Join(dir, fmt.Sprint(n)), n, kinds) })
	}
	all.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *recoverCommand) measure(ctx context.Context, programs, dir string, n int, kinds []soak.FaultKind) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	list, err := soak.MeasureRecoveries(ctx, soak.Options{Programs: programs, Dir: dir, Seed: 1, Subnet: fmt.Sprintf("61.%d", 1+n)}, kinds)
	for _, r := range list {
		fmt.Printf("%-20s %-15s %5d %4d %12.3f %13d %10d\n", r.Kind, r.Target, r.Sent, r.Failed, r.FirstSecond, r.Downtime.Milliseconds(), r.Slowest.Milliseconds())
	}
	return err
}
