package demo

import (
	"context"
	"fmt"
	"time"
)

// report prints the summary and fails when anything was lost or doubled.
func (d *Demo) report(o outcome) error {
	s := d.tally.Summary()
	leaks := d.leaks()
	fmt.Println()
	fmt.Printf("online    answered %d, tokens %d\n", s.Whole, s.Tokens)
	for _, code := range s.RefusedCodes() {
		fmt.Printf("          not answered, %s: %d\n", code, s.Refused[code])
	}
	fmt.Printf("          first token: 50 in 100 within %s, 99 in 100 within %s\n", ms(s.First.P50), ms(s.First.P99))
	fmt.Printf("          between tokens: 50 in 100 within %s, 99 in 100 within %s\n", ms(s.Gaps.P50), ms(s.Gaps.P99))
	fmt.Printf("batch     %d items in %s: completed %d, errored %d, lost %d, doubled %d\n",
		items, o.took.Round(100*time.Millisecond), o.done, o.errored, o.lost, o.doubled)
	fmt.Printf("keys      seen by backend servers: %d\n", leaks)
	d.showTimeline()
	if o.lost > 0 || o.doubled > 0 || leaks > 0 {
		return ErrBroken
	}
	if want := items / badEvery; o.errored != want {
		return fmt.Errorf("%d items ended with an error, want %d: %w", o.errored, want, ErrBroken)
	}
	return nil
}

// leaks counts the keys that backend servers have seen.
func (d *Demo) leaks() (n int) {
	for _, b := range d.fleet.Backends {
		var ledger struct {
			Leaks int `json:"leaks"`
		}
		if err := d.fleet.Ledger(b, &ledger); err == nil {
			n += ledger.Leaks
		}
	}
	return n
}

func (d *Demo) showTimeline() {
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
	fmt.Printf("time line %d events: %d leases broken, %d shards taken over, %d requests retried\n",
		len(events), counts["lease_broken"], counts["shard_acquired"], counts["request_retried"])
}

func ms(d time.Duration) string {
	return d.Round(100 * time.Microsecond).String()
}

func say(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.0"), fmt.Sprintf(format, args...))
}
