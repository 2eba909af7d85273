package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

// visibilityDelay is the time after its acceptance in which a job may not be found, and the time after it was read in
// which a position may be empty.
const visibilityDelay = time.Second

// result is the result at a position.
type result struct {
	item, state, output string
}

// checkPositions checks that a position has the same result in every read, and that no item has two positions.
func checkPositions(ev *Evidence) (violations []Violation) {
	results := make(map[string]map[int]result)
	for _, c := range ev.JobCalls {
		if c.Verb != verbRead || c.Status != http.StatusOK {
			continue
		}
		if results[c.Job] == nil {
			results[c.Job] = make(map[int]result)
		}
		for n, r := range c.Listing.Results {
			current := result{item: r.ID, state: r.State, output: r.Output}
			previous, known := results[c.Job][c.After+n]
			if known && previous != current {
				violations = append(violations, Violation{
					"positions", c.Job,
					fmt.Sprintf("position %d has %s (%s), but had %s (%s) before", c.After+n, current.item, current.state, previous.item, previous.state),
					c.Ended,
				})
			}
			results[c.Job][c.After+n] = current
		}
	}
	for j, at := range results {
		positions := make(map[string]int)
		for n, r := range at {
			if other, duplicate := positions[r.item]; duplicate {
				violations = append(violations, Violation{"positions", j, fmt.Sprintf("item %s is at positions %d and %d", r.item, other, n), ev.RecoveredAt})
			}
			positions[r.item] = n
		}
	}
	return violations
}

// checkOutputs checks that a result is complete, belongs to an item of its job, and is not an error unless the job was
// cancelled.
func checkOutputs(ev *Evidence) (violations []Violation) {
	cancelled := make(map[string]bool)
	for _, c := range ev.JobCalls {
		cancelled[c.Job] = cancelled[c.Job] || c.Verb == verbCancel
	}
	for _, c := range ev.JobCalls {
		if c.Verb != verbRead || c.Status != http.StatusOK {
			continue
		}
		if c.Listing.Total != ev.ItemsPerJob {
			violations = append(violations, Violation{"outputs", c.Job, fmt.Sprintf("the total is %d, not %d", c.Listing.Total, ev.ItemsPerJob), c.Ended})
		}
		for _, r := range c.Listing.Results {
			switch {
			case !strings.HasPrefix(r.ID, c.Job+"-"):
				violations = append(violations, Violation{"outputs", c.Job, "a result belongs to another job: " + r.ID, c.Ended})
			case r.State == "completed" && standin.WithoutVersions(r.Output) != expectedOutput(r.ID):
				violations = append(violations, Violation{"outputs", r.ID, fmt.Sprintf("the output is incomplete: %q", r.Output), c.Ended})
			case r.State != "completed" && !cancelled[c.Job]:
				violations = append(violations, Violation{"outputs", r.ID, "errored, though the item can be executed", c.Ended})
			}
		}
	}
	return violations
}

// expectedOutput returns the text of an item's events, without software versions.
func expectedOutput(id string) string {
	lines := make([]string, 0, streamEvents)
	for n := 1; n <= streamEvents; n++ {
		lines = append(lines, standin.EventText(id, n))
	}
	return strings.Join(lines, "\n")
}

// checkRetention checks that an accepted job is found later, and that a position that was read isn't empty later.
func checkRetention(ev *Evidence) (violations []Violation) {
	acceptedAt, readAt := firstObserved(ev)
	for _, c := range ev.JobCalls {
		if c.Verb != verbRead {
			continue
		}
		at, accepted := acceptedAt[c.Job]
		if c.Status == http.StatusNotFound && accepted && c.Sent.After(at.Add(visibilityDelay)) {
			violations = append(violations, Violation{"kept", c.Job, c.Host + " does not find an accepted job", c.Ended})
		}
		at, read := readAt[position{c.Job, c.After}]
		if c.Status == http.StatusOK && len(c.Listing.Results) == 0 && read && c.Sent.After(at.Add(visibilityDelay)) {
			violations = append(violations, Violation{"kept", c.Job, fmt.Sprintf("%s has no result at position %d, which was read before", c.Host, c.After), c.Ended})
		}
	}
	return violations
}

// position is a position in the results of a job.
type position struct {
	job   string
	index int
}

// firstObserved returns when each job was first accepted, and when each position was first read.
func firstObserved(ev *Evidence) (acceptedAt map[string]time.Time, readAt map[position]time.Time) {
	acceptedAt, readAt = make(map[string]time.Time), make(map[position]time.Time)
	for _, c := range ev.JobCalls {
		if c.Verb == verbSubmit && c.Status == statusAccepted {
			recordEarliest(acceptedAt, c.Job, c.Ended)
		}
		if c.Verb == verbRead && c.Status == http.StatusOK {
			for n := range c.Listing.Results {
				recordEarliest(readAt, position{c.Job, c.After + n}, c.Ended)
			}
		}
	}
	return acceptedAt, readAt
}

// recordEarliest keeps the earliest time per key.
func recordEarliest[K comparable](times map[K]time.Time, k K, at time.Time) {
	if previous, ok := times[k]; !ok || at.Before(previous) {
		times[k] = at
	}
}
