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

const forcePoll = 200 * time.Millisecond

type statusCommand struct{}

// Execute shows every daemon's state.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := withLimit(callLimit)
	defer cancel()
	f, err := daemons(ctx)
	if err != nil {
		return err
	}
	list := f.Status(ctx)
	if global.JSON {
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
		s.Host, stateWord(s), s.Versions[gossip.Rules], s.Versions[gossip.Keys], len(s.Shards), s.Peers, s.Running)
}

func stateWord(s daemon.Status) string {
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

// waitInForce reports on how many hosts a version is in force until it is on all.
func waitInForce(ctx context.Context, n gossip.Name, v ids.Version) (err error) {
	f, err := daemons(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		have, all := 0, 0
		for _, s := range f.Status(ctx) {
			all++
			if s.Error == "" && s.Versions[n] >= v {
				have++
			}
		}
		if have == all {
			fmt.Fprintf(os.Stderr, "in force on %d of %d hosts after %s\n", have, all, time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) > forceLimit || ctx.Err() != nil {
			return fmt.Errorf("in force on %d of %d hosts: %w", have, all, ErrNotInForce)
		}
		time.Sleep(forcePoll)
	}
}
