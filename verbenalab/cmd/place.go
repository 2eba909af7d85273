package cmd

import (
	"fmt"
	"os"
	"time"

	"verbenaledge.example/verbenalab/internal/placing"
)

type placeCommand struct {
	Load    string        `long:"load" required:"true" description:"recorded load, a line a request: milliseconds, host, events"`
	Density []float64     `long:"density" default:"1" default:"1.5" default:"2" default:"2.5" default:"3" description:"times that the load is played at once"`
	Age     time.Duration `long:"age" default:"250ms" description:"how often peers push their counts"`
}

// Execute compares the policies on a load, and early refusal with waiting.
func (c *placeCommand) Execute([]string) (err error) {
	f, err := os.Open(c.Load)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it is read only
	load, err := placing.ReadLoad(f)
	if err != nil {
		return err
	}
	fmt.Println("density policy refusal  requests in_time answered word_p50_ms word_p99_ms unanswered_word_p50_ms items_done items_cut")
	for _, d := range c.Density {
		for _, p := range []placing.Policy{placing.Alone, placing.Peers, placing.Owner} {
			for _, waits := range []bool{false, true} {
				s := placing.Standard(p)
				s.Waits, s.PeersEvery = waits, c.Age
				printPlay(d, s, placing.Play(placing.Dense(load, d), s))
			}
		}
	}
	return nil
}

func printPlay(density float64, s placing.Setup, r placing.Result) {
	refusal := "early"
	if s.Waits {
		refusal = "none"
	}
	share := func(n int) float64 { return float64(n) / float64(max(1, r.Requests)) }
	fmt.Printf("%7.1f %-6s %-7s %9d %7.3f %8.3f %11d %11d %22d %10d %9d\n", density, s.Policy, refusal, r.Requests, share(r.InTime), share(r.Answered),
		r.Words.At(0.5).Milliseconds(), r.Words.At(0.99).Milliseconds(), r.WordsUnanswered.At(0.5).Milliseconds(), r.ItemsDone, r.ItemsCut)
}
