package cmd

import (
	"fmt"
	"os"
	"time"

	"verbenaledge.example/verbenalab/internal/placing"
)

type placeCommand struct {
	Load    string        `long:"load" required:"true" description:"recorded load with a line per request: milliseconds, host, events"`
	Density []float64     `long:"density" default:"1" default:"1.5" default:"2" default:"2.5" default:"3" description:"factor of the number of requests"`
	Age     time.Duration `long:"age" default:"250ms" description:"how often hosts send each other their counts"`
}

// Execute compares the policies on a load, each with and without early refusals. The word columns are the times until
// callers know whether they get an answer.
func (c *placeCommand) Execute([]string) (err error) {
	f, err := os.Open(c.Load)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file is only read
	load, err := placing.ReadLoad(f)
	if err != nil {
		return err
	}
	fmt.Println("density policy refusal  requests in_time answered word_p50_ms word_p99_ms unanswered_word_p50_ms items_done items_cut")
	for _, d := range c.Density {
		for _, p := range []placing.Policy{placing.LocalCounts, placing.PeerCounts, placing.CentralDispatcher} {
			for _, noEarlyRefusal := range []bool{false, true} {
				cfg := placing.StandardConfig(p)
				cfg.NoEarlyRefusal, cfg.PeerUpdateInterval = noEarlyRefusal, c.Age
				printResult(d, cfg, placing.Simulate(placing.Multiply(load, d), cfg))
			}
		}
	}
	return nil
}

func printResult(density float64, cfg placing.Config, r placing.Result) {
	refusal := "early"
	if cfg.NoEarlyRefusal {
		refusal = "none"
	}
	share := func(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }
	fmt.Printf("%7.1f %-6s %-7s %9d %7.3f %8.3f %11d %11d %22d %10d %9d\n", density, cfg.Policy, refusal, r.Requests, share(r.InTime), share(r.Answered),
		r.TimesToOutcome.Quantile(0.5).Milliseconds(), r.TimesToOutcome.Quantile(0.99).Milliseconds(), r.TimesToFailure.Quantile(0.5).Milliseconds(),
		r.ItemsDone, r.ItemsYielded)
}
