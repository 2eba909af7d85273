package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"verbenaledge.example/platform/standin"
)

// settleTime is how long after its acceptance a job, and after it was read a position, may be out of sight.
const settleTime = time.Second

// place is the result at a position.
type place struct {
	item, state, output string
}

// checkPositions: a position holds the same result in every read, and no item stands twice.
func checkPositions(e *Evidence) (broken []Violation) {
	places := make(map[string]map[int]place)
	for _, c := range e.Jobs {
		if c.Verb != verbRead || c.Status != http.StatusOK {
			continue
		}
		if places[c.Job] == nil {
			places[c.Job] = make(map[int]place)
		}
		for n, r := range c.Listing.Results {
			p := place{item: r.ID, state: r.State, output: r.Output}
			old, known := places[c.Job][c.After+n]
			if known && old != p {
				broken = append(broken, Violation{
					"positions", c.Job, fmt.Sprintf("position %d holds %s (%s), before %s (%s)", c.After+n, p.item, p.state, old.item, old.state), c.Ended,
				})
			}
			places[c.Job][c.After+n] = p
		}
	}
	for job, at := range places {
		where := make(map[string]int)
		for n, p := range at {
			if other, twice := where[p.item]; twice {
				broken = append(broken, Violation{"positions", job, fmt.Sprintf("item %s stands at %d and at %d", p.item, other, n), e.CalmFrom})
			}
			where[p.item] = n
		}
	}
	return broken
}

// checkOutputs: a result is whole, of an item of its job, and not given up without cause.
func checkOutputs(e *Evidence) (broken []Violation) {
	ended := make(map[string]bool)
	for _, c := range e.Jobs {
		ended[c.Job] = ended[c.Job] || c.Verb == verbEnd
	}
	for _, c := range e.Jobs {
		if c.Verb != verbRead || c.Status != http.StatusOK {
			continue
		}
		if c.Listing.Total != e.Items {
			broken = append(broken, Violation{"outputs", c.Job, fmt.Sprintf("the total is %d, not %d", c.Listing.Total, e.Items), c.Ended})
		}
		for _, r := range c.Listing.Results {
			switch {
			case !strings.HasPrefix(r.ID, c.Job+"-"):
				broken = append(broken, Violation{"outputs", c.Job, "a result is of another job: " + r.ID, c.Ended})
			case r.State == "completed" && r.Output != wholeOutput(r.ID):
				broken = append(broken, Violation{"outputs", r.ID, fmt.Sprintf("the output isn't whole: %q", r.Output), c.Ended})
			case r.State != "completed" && !ended[c.Job]:
				broken = append(broken, Violation{"outputs", r.ID, "errored, though it can be done", c.Ended})
			}
		}
	}
	return broken
}

// wholeOutput is the text of an item's events.
func wholeOutput(id string) string {
	lines := make([]string, 0, eventsOf)
	for n := 1; n <= eventsOf; n++ {
		lines = append(lines, standin.EventText(id, n))
	}
	return strings.Join(lines, "\n")
}

// checkKept: a job that was accepted is found again, and a position that was read isn't empty later.
func checkKept(e *Evidence) (broken []Violation) {
	acceptedAt, readAt := promisedAt(e)
	for _, c := range e.Jobs {
		if c.Verb != verbRead {
			continue
		}
		at, accepted := acceptedAt[c.Job]
		if c.Status == http.StatusNotFound && accepted && c.Sent.After(at.Add(settleTime)) {
			broken = append(broken, Violation{"kept", c.Job, c.Host + " says that an accepted job doesn't exist", c.Ended})
		}
		at, read := readAt[position{c.Job, c.After}]
		if c.Status == http.StatusOK && len(c.Listing.Results) == 0 && read && c.Sent.After(at.Add(settleTime)) {
			broken = append(broken, Violation{"kept", c.Job, fmt.Sprintf("%s has nothing at position %d, which had been read", c.Host, c.After), c.Ended})
		}
	}
	return broken
}

// position is a place in a job's results.
type position struct {
	job    string
	number int
}

// promisedAt returns when each job was first called accepted, and when each position was first read.
func promisedAt(e *Evidence) (acceptedAt map[string]time.Time, readAt map[position]time.Time) {
	acceptedAt, readAt = make(map[string]time.Time), make(map[position]time.Time)
	for _, c := range e.Jobs {
		if c.Verb == verbSubmit && c.Status == statusAccepted {
			earliest(acceptedAt, c.Job, c.Ended)
		}
		if c.Verb == verbRead && c.Status == http.StatusOK {
			for n := range c.Listing.Results {
				earliest(readAt, position{c.Job, c.After + n}, c.Ended)
			}
		}
	}
	return acceptedAt, readAt
}

// earliest notes a time if none before it is known.
func earliest[K comparable](times map[K]time.Time, k K, at time.Time) {
	if old, ok := times[k]; !ok || at.Before(old) {
		times[k] = at
	}
}
