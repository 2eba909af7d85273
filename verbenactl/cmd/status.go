package cmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"verbenaledge.example/verbena/gossip"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbenactl/internal/daemon"
)

// inForcePollInterval is the time between two status calls while waitUntilInForce waits.
const inForcePollInterval = 200 * time.Millisecond

type statusCommand struct{}

// Execute prints every daemon's state.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := withTimeout(callTimeout)
	defer cancel()
	fleet, err := daemonFleet(ctx)
	if err != nil {
		return err
	}
	list := fleet.Status(ctx)
	if globalOptions.JSON {
		return printJSON(list)
	}
	for _, s := range list {
		fmt.Println(statusLine(s))
	}
	return nil
}

func statusLine(s daemon.Status) string {
	if s.Error != "" {
		return fmt.Sprintf("%-24s unreachable: %s", s.Address, s.Error)
	}
	return fmt.Sprintf("%-16s %-9s rules v%d keys v%d shards %d peers %d running %d",
		s.Host, stateName(s), s.Versions[gossip.Rules], s.Versions[gossip.Keys], len(s.Shards), s.Peers, s.Running)
}

func stateName(s daemon.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Isolated:
		return "isolated"
	case !s.Ready:
		return "starting"
	}
	return "ready"
}

// waitUntilInForce waits until a version is in force on all hosts, or fails after inForceTimeout.
func waitUntilInForce(ctx context.Context, n gossip.Name, v ids.Version) (err error) {
	fleet, err := daemonFleet(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		inForce, total := 0, 0
		for _, s := range fleet.Status(ctx) {
			total++
			if s.Error == "" && s.Versions[n] >= v {
				inForce++
			}
		}
		if inForce == total {
			fmt.Fprintf(os.Stderr, "in force on %d of %d hosts after %s\n", inForce, total, time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) > inForceTimeout || ctx.Err() != nil {
			return fmt.Errorf("in force on %d of %d hosts: %w", inForce, total, ErrNotInForce)
		}
		time.Sleep(inForcePollInterval)
	}
}
