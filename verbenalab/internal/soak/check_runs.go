package soak

import (
	"fmt"
	"net/http"
)

// mostRuns is how often a server may be asked to run a request of each route: the configuration's
// attempts, and one if it may run once or can't be resumed.
var mostRuns = map[Route]int{RouteStream: 3, RouteResume: 3, RouteApp: 3, RouteOnce: 1}

// promisesNotRun tells whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusUnauthorized, http.StatusNotFound:
		return true
	}
	return false
}

// checkRuns: what was called not run has not run, on requests and on the items of jobs that every
// attempt refused; nothing runs more often than its route allows.
func checkRuns(e *Evidence) (broken []Violation) {
	ran := make(map[string]int)
	for _, r := range e.Runs {
		ran[r.ID]++
	}
	for _, c := range e.Calls {
		if promisesNotRun(c.Status) && ran[c.ID] > 0 {
			broken = append(broken, Violation{"not run", c.ID, fmt.Sprintf("refused with %d, and ran %d times", c.Status, ran[c.ID]), c.Ended})
		}
		if ran[c.ID] > mostRuns[c.Route] {
			broken = append(broken, Violation{"at most once", c.ID, fmt.Sprintf("a request of %s ran %d times", c.Route, ran[c.ID]), c.Ended})
		}
	}
	for job, calls := range submissions(e) {
		refused := true
		for _, c := range calls {
			refused = refused && promisesNotRun(c.Status)
		}
		for n := range e.Items {
			if id := itemID(job, n); refused && ran[id] > 0 {
				broken = append(broken, Violation{"not run", id, "its job was refused at every attempt, and it ran", calls[len(calls)-1].Ended})
			}
		}
	}
	return broken
}

// itemID is the id of a job's n-th item, as the stand-in forms it.
func itemID(job string, n int) string { return fmt.Sprintf("%s-%d", job, n) }

func submissions(e *Evidence) map[string][]JobCall {
	jobs := make(map[string][]JobCall)
	for _, c := range e.Jobs {
		if c.Verb == verbSubmit {
			jobs[c.Job] = append(jobs[c.Job], c)
		}
	}
	return jobs
}
