package catalog

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Kind is the kind of requests on a route. It determines whether they may be repeated.
type Kind int

// The kinds of routes.
const (
	KindIdempotent Kind = iota
	KindNonIdempotent
	KindStream
	KindBatch
)

// Route maps the requests with a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// MaxEventGap is the longest pause between events for a stream to be on time; 0 means that none is configured.
	MaxEventGap time.Duration
	// Priority orders the waiting requests; 0 is served first.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be resumed on another server after the last complete event.
	Resumable bool
	// ResultsDueAfter is how long after its submission all results of a batch job are due.
	ResultsDueAfter time.Duration
	// GiveUpAfter is how long after a batch job's submission its unfinished items are given up.
	GiveUpAfter time.Duration
	// TokenCap bounds the tokens of a workspace's waiting batch items; 0 means no bound.
	TokenCap int64
}

// Target is a service and its weight in the distribution of a route's requests.
type Target struct {
	Service ids.ServiceName
	Weight  int
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// Callers abandon a stream whose first event doesn't come within the longest of these times.
const (
	// minFirstEventTimeout applies to all routes.
	minFirstEventTimeout = 2 * time.Second
	// firstEventObjectiveFactor and firstEventGapFactor multiply the route's Objective and MaxEventGap.
	firstEventObjectiveFactor = 4
	firstEventGapFactor       = 8
)

// FirstEventTimeout is how long callers wait for the first event of a stream; 0 means until the request's timeout.
func (r *Route) FirstEventTimeout() time.Duration {
	if r.Kind != KindStream {
		return 0
	}
	return max(minFirstEventTimeout, firstEventObjectiveFactor*r.Objective, firstEventGapFactor*r.MaxEventGap)
}

// PickService chooses a target's service by weight; roll is uniform in [0, 1).
func (r *Route) PickService(roll float64) (service ids.ServiceName, ok bool) {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return "", false
	}
	offset := int(roll * float64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service, true
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service, true
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       ids.ServiceName
	HealthPath string
	// MaxConnections is how many connections a server accepts from all hosts together.
	MaxConnections int
	// GeneratesTokens is true for model services, whose requests are counted in tokens.
	GeneratesTokens bool
	// ColdPerSecond is how many requests a second a cold server tolerates; 0 means no limit.
	ColdPerSecond float64
	// ColdTime is how long a server is cold after its start.
	ColdTime time.Duration
	// MemoryTokens is the memory of a server in tokens; 0 means unknown.
	MemoryTokens int
}

// Workspace is a customer with its API keys, priority and rate limit.
type Workspace struct {
	ID   ids.WorkspaceID
	Keys []string
	// Priority overrides the route's, if set; 0 is the highest.
	Priority *int
	// RatePerSecond and Burst limit the requests over all hosts together; a rate of 0 means no limit.
	RatePerSecond float64
	Burst         float64
}

// DefaultBurstTime times a rate is the burst of a workspace that states none: with less, requests inside the rate are refused for
// arriving together.
const DefaultBurstTime = 100 * time.Millisecond

// setBurst gives a workspace that has a rate a burst that admits a request.
func (w *Workspace) setBurst() {
	if w.RatePerSecond <= 0 {
		return
	}
	if w.Burst <= 0 {
		w.Burst = w.RatePerSecond * DefaultBurstTime.Seconds()
	}
	w.Burst = max(w.Burst, 1)
}

// PriorityOf returns the priority of a workspace's requests on the route. w may be nil.
func (r *Route) PriorityOf(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
