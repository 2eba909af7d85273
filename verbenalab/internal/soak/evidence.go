package soak

import (
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

// Route is a route of the configuration, which determines the kind of request.
type Route string

// The routes that callers use, as in standin.Configuration.
const (
	RouteStream Route = "stream"
	RouteResume Route = "resume"
	RouteApp    Route = "app"
	RouteOnce   Route = "once"
)

// Call is one request of a caller and its response.
type Call struct {
	ID    string
	Route Route
	Key   string
	// FirstAttempt is the attempt that brought the first event of a stream that the caller takes up after event
	// ResumedAfter; empty for a new request.
	FirstAttempt string
	ResumedAfter int
	promptParts  string
	// Host is the name of the entry host, Abandoned whether the caller left before the end.
	Host      string
	Abandoned bool
	// Process is the processName of the host, empty if the host was restarted during the request.
	Process     string
	Sent, Ended time.Time
	// Status is 0 if no response headers arrived.
	Status     int
	ResponseID string
	Body       string
	// Draining says whether the response announces that its server is draining.
	Draining bool
	// Complete says whether the caller read the response to its end without an error.
	Complete bool
}

// JobCall is one call about a batch job and its response.
type JobCall struct {
	Job         string
	Verb        string
	Host        string
	After       int
	Sent, Ended time.Time
	// Status is 0 if no complete response arrived.
	Status  int
	Listing standin.JobListing
}

// The verbs of calls about jobs.
const (
	verbSubmit = "submit"
	verbRead   = "read"
	verbCancel = "end"
)

// ServerRun is a request that a backend server executed.
type ServerRun struct {
	standin.Run
	Server string
}

// Evidence is what callers and backend servers observed during a run.
type Evidence struct {
	Calls      []Call
	JobCalls   []JobCall
	ServerRuns []ServerRun
	// LeakedKeys counts the requests that reached a server with a caller's API key.
	LeakedKeys int
	// ItemsPerJob is the number of items of each job.
	ItemsPerJob int
	// RecoveredAt is the time when all faults had ended and all hosts served again.
	RecoveredAt time.Time
	// DrainedAt is the time when DrainedServer was set to draining after recovery.
	DrainedAt     time.Time
	DrainedServer string
	// EvacuatedAt is the time when the zone of EvacuatedServers was evacuated after recovery.
	EvacuatedAt      time.Time
	EvacuatedServers map[string]bool
	// StillRunning counts the requests that servers still ran after all callers had disconnected and all jobs had ended.
	StillRunning int
	Containment  Containment
	LimitPeriods []LimitPeriod
	Disturbances []Disturbance
	// HostFaults are the faults of hosts and of their connections, other than cuts.
	HostFaults   []Disturbance
	CutPeriods   []CutPeriod
	ProcessEnds  []ProcessEnd
	CrashReports []CrashReport
	// EndedAt is the time when all processes had ended.
	EndedAt time.Time
}

// journal records the calls of all callers.
type journal struct {
	mu       sync.Mutex
	calls    []Call
	jobCalls []JobCall
}

func (j *journal) addCall(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

func (j *journal) addJobCall(c JobCall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobCalls = append(j.jobCalls, c)
}

// acceptedJobs returns the jobs that a host accepted, without those whose cancellation was requested.
func (j *journal) acceptedJobs() (list []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	cancelled := make(map[string]bool)
	for _, c := range j.jobCalls {
		cancelled[c.Job] = cancelled[c.Job] || c.Verb == verbCancel
	}
	seen := make(map[string]bool)
	for _, c := range j.jobCalls {
		if c.Verb == verbSubmit && c.Status == statusAccepted && !cancelled[c.Job] && !seen[c.Job] {
			seen[c.Job] = true
			list = append(list, c.Job)
		}
	}
	return list
}
