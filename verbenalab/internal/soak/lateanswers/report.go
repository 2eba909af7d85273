package lateanswers

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxFailures is the number of attempts of the routes in the configuration.
const maxFailures = 3

// Report tells what callers got.
type Report struct {
	// Served and Failed count the requests or items by their ends, Other callers' requests that ended otherwise.
	Served, Failed, Other int
	// LostAttempts counts callers' requests that failed after fewer own failures than attempts, the others having got no answer.
	LostAttempts int
	// TooEarly describes the failures that the servers' own answers don't justify.
	TooEarly []string
	// Wrong describes successes that aren't the whole answer of a server, and requests that ran too often.
	Wrong []string
	// LogLines are the hosts' log lines on the requests in TooEarly and Wrong.
	LogLines []string
	// Repeated counts the repetitions that servers wrote, Runs the runs of all requests.
	Repeated, Runs int
	Metrics        Metrics
	Took           time.Duration
}

// Metrics are sums over all hosts.
type Metrics struct {
	Direct, Relayed, LateIdle, LateForeign, PassedOver int
}

func (m *Metrics) add(values map[string]int) {
	for name, n := range values {
		switch {
		case strings.HasPrefix(name, `verbenad_server_connections_total{path="direct"`):
			m.Direct += n
		case strings.HasPrefix(name, `verbenad_server_connections_total{path="relay"`):
			m.Relayed += n
		case strings.HasPrefix(name, "verbenad_server_late_answers_total") && strings.Contains(name, "idle_connection"):
			m.LateIdle += n
		case strings.HasPrefix(name, "verbenad_server_late_answers_total"):
			m.LateForeign += n
		case name == "verbenad_server_connections_passed_over_total":
			m.PassedOver += n
		}
	}
}

// String returns the counts in one line.
func (r *Report) String() string {
	return fmt.Sprintf("served %d, failed %d, other %d, lost attempts %d, too early %d, wrong %d, repeated %d, runs %d, metrics %+v, took %s",
		r.Served, r.Failed, r.Other, r.LostAttempts, len(r.TooEarly), len(r.Wrong), r.Repeated, r.Runs, r.Metrics, r.Took.Round(time.Millisecond))
}

// finish adds the counts of the fleet.
func (r *Report) finish(f *fleet) error {
	for _, h := range f.hosts {
		values, err := h.metrics()
		if err != nil {
			return err
		}
		r.Metrics.add(values)
	}
	r.Repeated = f.repeater.Repeated()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.runs {
		r.Runs += n
	}
	return nil
}

// errorJustified reports whether the answers of servers justify an errored item.
func (f *fleet) errorJustified(id string) bool {
	return f.repeater.Written(id, http.StatusUnprocessableEntity) > 0 || f.repeater.Written(id, http.StatusInternalServerError) >= maxFailures
}

// failureJustified reports whether a request had used its attempts up when its caller got a failure. Unlike for an item, an attempt
// counts that got no answer because its connection had ended, or could not read it behind another request's late answer.
func (f *fleet) failureJustified(id string) bool {
	f.mu.Lock()
	attempts := f.cutOff[id]
	f.mu.Unlock()
	attempts += f.repeater.Written(id, http.StatusInternalServerError) + f.repeater.Obstructed(id, http.StatusOK)
	if f.plan.CutOff {
		attempts += f.resets(id)
	}
	return f.repeater.Written(id, http.StatusUnprocessableEntity) > 0 || attempts >= maxFailures
}

// resets returns how many attempts of a request were reset on their way to a server by the cut.
func (f *fleet) resets(id string) (n int) {
	for _, l := range f.logLines(id) {
		if strings.Contains(l, "connection reset by peer") || strings.Contains(l, "broken pipe") {
			n++
		}
	}
	return n
}

// executions returns how often servers ran a request, without the runs that they refused.
func (f *fleet) executions(id string) (n int) {
	for _, s := range f.servers {
		n += s.server.RunCount(id)
	}
	return n
}

// addTooEarly records a failure that isn't justified.
func (r *Report) addTooEarly(f *fleet, id, how string) {
	r.TooEarly = append(r.TooEarly, fmt.Sprintf("%s: %s after %d answers of 500", id, how, f.repeater.Written(id, http.StatusInternalServerError)))
	r.LogLines = append(r.LogLines, f.logLines(id)...)
}

// addWrong records a request that was answered wrongly or ran too often.
func (r *Report) addWrong(f *fleet, id, how string) {
	r.Wrong = append(r.Wrong, id+": "+how)
	r.LogLines = append(r.LogLines, f.logLines(id)...)
}
