package soak

import (
	"sync"
	"time"

	"verbenaledge.example/platform/standin"
)

// Route is the kind of a request, by the route that it takes.
type Route string

// The routes.
const (
	RouteStream Route = "stream"
	RouteResume Route = "resume"
	RouteApp    Route = "app"
	RouteOnce   Route = "once"
)

// Call is one request of a caller with its answer.
type Call struct {
	ID    string
	Route Route
	Key   string
	// Life is the host and the number of its process, empty if that changed meanwhile.
	Life        string
	Sent, Ended time.Time
	// Status is 0 if no answer began.
	Status   int
	AnswerID string
	Body     string
	// Draining tells that the answer says that its server leaves.
	Draining bool
	// Whole tells that the answer looked complete to its caller.
	Whole bool
}

// JobCall is one call on a batch job with its answer.
type JobCall struct {
	Job         string
	Verb        string
	Host        string
	After       int
	Sent, Ended time.Time
	// Status is 0 if no whole answer came.
	Status  int
	Listing standin.JobListing
}

// The verbs of calls on jobs.
const (
	verbSubmit = "submit"
	verbRead   = "read"
	verbEnd    = "end"
)

// Run is a request that a backend server ran.
type ServerRun struct {
	standin.Run
	Server string
}

// Evidence is what callers and backend servers saw of a run.
type Evidence struct {
	Calls []Call
	Jobs  []JobCall
	Runs  []ServerRun
	// KeysSeen counts the requests that reached a server with a caller's key.
	KeysSeen int
	// Items is the number of items of each job.
	Items int
	// CalmFrom is when all troubles had ended and everything served again.
	CalmFrom time.Time
	// LeftAt is when a server was told to leave in the calm, Left which.
	LeftAt time.Time
	Left   string
	// StillRunning counts requests that servers ran after all callers had gone and all jobs had ended.
	StillRunning int
}

// journal collects what callers see.
type journal struct {
	mu    sync.Mutex
	calls []Call
	jobs  []JobCall
}

func (j *journal) call(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

func (j *journal) job(c JobCall) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs = append(j.jobs, c)
}

// accepted returns the jobs that a host accepted, without those whose end was asked.
func (j *journal) accepted() (list []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended := make(map[string]bool)
	for _, c := range j.jobs {
		ended[c.Job] = ended[c.Job] || c.Verb == verbEnd
	}
	seen := make(map[string]bool)
	for _, c := range j.jobs {
		if c.Verb == verbSubmit && c.Status == statusAccepted && !ended[c.Job] && !seen[c.Job] {
			seen[c.Job] = true
			list = append(list, c.Job)
		}
	}
	return list
}
