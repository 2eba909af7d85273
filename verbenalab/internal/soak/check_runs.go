package soak

import (
	"fmt"
	"net/http"
)

// maxRuns bounds how often a request of each route may be sent to a server: the attempts of the configuration, and once
// for a request that isn't idempotent.
var maxRuns = map[Route]int{RouteStream: 3, RouteResume: 3, RouteApp: 3, RouteOnce: 1}

// impliesNotExecuted reports whether a response status guarantees that the request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusUnauthorized, http.StatusNotFound:
		return true
	}
	return false
}

// checkRuns checks that requests were not executed if their response status says so, and likewise the items of jobs that
// were refused at every attempt, and that no request runs more often than its route allows.
func checkRuns(ev *Evidence) (violations []Violation) {
	ran := make(map[string]int)
	for _, r := range ev.ServerRuns {
		ran[r.ID]++
	}
	for _, c := range ev.Calls {
		if impliesNotExecuted(c.Status) && ran[c.ID] > 0 {
			violations = append(violations, Violation{"not run", c.ID, fmt.Sprintf("refused with %d, but ran %d times", c.Status, ran[c.ID]), c.Ended})
		}
		if ran[c.ID] > maxRuns[c.Route] {
			violations = append(violations, Violation{"at most once", c.ID, fmt.Sprintf("a request on route %s ran %d times", c.Route, ran[c.ID]), c.Ended})
		}
	}
	for j, cs := range submissions(ev) {
		refused := true
		for _, c := range cs {
			refused = refused && impliesNotExecuted(c.Status)
		}
		for n := range ev.ItemsPerJob {
			if id := itemID(j, n); refused && ran[id] > 0 {
				violations = append(violations, Violation{"not run", id, "the item ran, though its job was refused at every attempt", cs[len(cs)-1].Ended})
			}
		}
	}
	return violations
}

// itemID returns the id of a job's n-th item in the form of standin.JobBody.
func itemID(job string, n int) string { return fmt.Sprintf("%s-%d", job, n) }

func submissions(ev *Evidence) map[string][]JobCall {
	jobs := make(map[string][]JobCall)
	for _, c := range ev.JobCalls {
		if c.Verb == verbSubmit {
			jobs[c.Job] = append(jobs[c.Job], c)
		}
	}
	return jobs
}
