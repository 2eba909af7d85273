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
	Jobs int    `long:"jobs" default:"3" description:"number of simultaneous fleets, each with five processes"`
	Keep string `long:"keep" description:"folder for settings and logs; default: a new one that is removed at the end"`
}

// Execute injects one fault after the other and prints the effect of each on callers. The kinds of faults
// are divided among several simultaneous fleets.
func (c *recoverCommand) Execute([]string) (err error) {
	ctx, stop := signalContext()
	defer stop()
	programsDir, err := executableDir()
	if err != nil {
		return err
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "recover"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a failure leaves only temporary files behind
	}
	// The columns at, asked, lost and back_after_ms show the fields Target, Sent, Failed and Downtime.
	fmt.Println("trouble              at              asked lost first_second back_after_ms slowest_ms")
	kindsByFleet := make([][]soak.FaultKind, max(1, c.Jobs))
	for n, k := range soak.FaultKinds() {
		kindsByFleet[n%len(kindsByFleet)] = append(kindsByFleet[n%len(kindsByFleet)], k)
	}
	var wg sync.WaitGroup
	failed := make([]error, len(kindsByFleet))
	for n, ks := range kindsByFleet {
		wg.Go(func() { failed[n] = c.measure(ctx, programsDir, filepath.Join(dir, fmt.Sprint(n)), n, ks) })
	}
	wg.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *recoverCommand) measure(ctx context.Context, programsDir, dir string, n int, kinds []soak.FaultKind) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	list, err := soak.MeasureRecoveries(ctx, soak.Options{ProgramsDir: programsDir, Dir: dir, Seed: 1, Subnet: fmt.Sprintf("61.%d", 1+n)}, kinds)
	for _, r := range list {
		fmt.Printf("%-20s %-15s %5d %4d %12.3f %13d %10d\n", r.Kind, r.Target, r.Sent, r.Failed, r.FirstSecond, r.Downtime.Milliseconds(), r.Slowest.Milliseconds())
	}
	return err
}
