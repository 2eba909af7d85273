package demo

import (
	"context"
	"fmt"
	"time"
)

// report prints the summary and returns ErrCheckFailed if a check fails.
func (d *Demo) report(o batchOutcome) error {
	s := d.tally.Summary()
	leaks := d.countLeakedKeys()
	fmt.Println()
	fmt.Printf("online    answered %d, tokens %d\n", s.Completed, s.Tokens)
	for _, c := range s.RefusedCodes() {
		fmt.Printf("          not answered, %s: %d\n", c, s.Refused[c])
	}
	fmt.Printf("          time to first token: p50 %s, p99 %s\n", formatLatency(s.TimeToFirstToken.P50), formatLatency(s.TimeToFirstToken.P99))
	fmt.Printf("          between tokens: p50 %s, p99 %s\n", formatLatency(s.TokenGaps.P50), formatLatency(s.TokenGaps.P99))
	fmt.Printf("batch     %d items in %s: completed %d, errored %d, lost %d, duplicated %d\n",
		itemCount, o.duration.Round(100*time.Millisecond), o.completed, o.errored, o.lost, o.duplicated)
	fmt.Printf("keys      received by backend servers: %d\n", leaks)
	d.printTimeline()
	if o.lost > 0 || o.duplicated > 0 || leaks > 0 {
		return ErrCheckFailed
	}
	if want := itemCount / failEvery; o.errored != want {
		return fmt.Errorf("%d items ended with an error, want %d: %w", o.errored, want, ErrCheckFailed)
	}
	return nil
}

// countLeakedKeys counts the requests with an API key that backend servers have received.
func (d *Demo) countLeakedKeys() (n int) {
	for _, b := range d.fleet.Backends {
		var ledger struct {
			Leaks int `json:"leaks"`
		}
		if err := d.fleet.ReadLedger(b, &ledger); err == nil {
			n += ledger.Leaks
		}
	}
	return n
}

func (d *Demo) printTimeline() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	events, err := d.fleet.Events(ctx)
	if err != nil {
		return
	}
	counts := map[string]int{}
	for _, e := range events {
		counts[string(e.Kind)]++
	}
	fmt.Printf("timeline  %d events: %d leases broken, %d shards taken over, %d requests retried\n",
		len(events), counts["lease_broken"], counts["shard_acquired"], counts["request_retried"])
}

func formatLatency(d time.Duration) string {
	return d.Round(100 * time.Microsecond).String()
}

func logf(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.0"), fmt.Sprintf(format, args...))
}
