package soak

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// The bound on a workspace's requests in any rateWindow, according to the platform's settings: rate and burst, increased
// by the share rateExcess and by rateSlack requests.
const (
	rateWindow = 5 * time.Second
	rateExcess = 0.1
	rateSlack  = 20
)

// checkRates checks that in any window no more requests of a workspace run, over all hosts, than its rate limit allows.
// A retry by a host counts as another request. Items of batch jobs don't count.
func checkRates(ev *Evidence) (violations []Violation) {
	allowed := int((workspaceRate*rateWindow.Seconds()+workspaceRate)*(1+rateExcess)) + rateSlack
	times := make(map[string][]time.Time)
	for _, r := range ev.ServerRuns {
		if !strings.HasPrefix(r.ID, jobPrefix) {
			times[r.Workspace] = append(times[r.Workspace], r.At)
		}
	}
	for w, at := range times {
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		first := 0
		for last := range at {
			for at[last].Sub(at[first]) > rateWindow {
				first++
			}
			if n := last - first + 1; n > allowed {
				violations = append(violations, Violation{"rates", w, fmt.Sprintf("%d requests ran within %s, %d are allowed", n, rateWindow, allowed), at[last]})
				break
			}
		}
	}
	return violations
}
