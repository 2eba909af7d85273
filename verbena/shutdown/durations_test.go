package shutdown

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"verbenaledge.example/verbena/scripted"
)

// TestScripts replays the scripts of testdata. A line is an event with its time in milliseconds:
// `observe ROUTE SIZE TOOK [times=N] [complete=false] [unbuffered=true]`, and
// `request ROUTE SIZE REMAINING LEFT [repeatable=true] [sent=true]`, whose result tells whether the request is begun, and how long it
// may wait. Durations are in milliseconds.
func TestScripts(t *testing.T) {
	scripted.Run(t, func() scripted.Step {
		d := NewDurations()
		return func(t *testing.T, words scripted.Words) []string { return step(t, d, words) }
	})
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func step(t *testing.T, d *Durations, words scripted.Words) []string {
	now, route, size := words.Time(), words.At(2), words.Number(3)
	switch name := words.At(1); name {
	case "observe":
		times := 1
		if n := words.Option("times"); n != "" {
			times, _ = strconv.Atoi(n) // a wrong number makes later results differ
		}
		for range times {
			d.Observe(now, Ended{
				Route: route, Size: size, Took: milliseconds(words.Number(4)),
				Complete: words.Option("complete") != "false", Unbuffered: words.Option("unbuffered") == "true",
			})
		}
	case "request":
		r := Request{
			Route: route, Size: size, Remaining: milliseconds(words.Number(4)),
			Repeatable: words.Option("repeatable") == "true", Sent: words.Option("sent") == "true",
		}
		wait := d.LatestStart(now, r, milliseconds(words.Number(5)))
		if wait < 0 {
			return []string{"refused"}
		}
		return []string{fmt.Sprintf("begun, waits %d at most", wait.Milliseconds())}
	default:
		t.Fatalf("event %q is unknown", name)
	}
	return nil
}
