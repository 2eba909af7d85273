package catalog

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	KindIdempotent Kind = iota
	KindNonIdempotent
	KindStream
	KindBatch
)

// Route sends the requests under a prefix of paths to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer (a stream: its first event) is on time.
	Objective time.Duration
	// Gap is the longest pause between the events of a stream that is on time; 0 means that none is named.
	MaxEventGap time.Duration
	Priority    int
	Targets     []Target
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server after the last whole event.
	Resumable bool
	// RunTarget is how long after its submission all results of a batch job are due.
	ResultsDueAfter time.Duration
	// GiveUpAfter is how long after its submission an item of a batch job may be abandoned.
	GiveUpAfter time.Duration
	// TokenCap bounds the tokens of a workspace's waiting items; 0 means none.
	TokenCap int64
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service ids.ServiceName
	Weight  int
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindBatch || r.Kind == KindStream && r.Resumable
}

// Callers leave a stream whose first event doesn't come within the longest of these.
const (
	// leastAttention holds whatever the route says.
	leastAttention = 2 * time.Second
	// attentionObjectives and attentionGaps count the route's objectives and longest timely pauses.
	attentionObjectives = 4
	attentionGaps       = 8
)

// Attention is how long callers wait for the first sign of an answer; 0 means until their time is over.
func (r *Route) FirstEventTimeout() time.Duration {
	if r.Kind != KindStream {
		return 0
	}
	return max(leastAttention, attentionObjectives*r.Objective, attentionGaps*r.MaxEventGap)
}

// Pick chooses a target by weight; roll is uniform in [0, 1).
func (r *Route) PickService(roll float64) (service ids.ServiceName, ok bool) {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := int(roll * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service, true
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service, true
}

// Service is a group of alike backend servers.
type Service struct {
	Name       ids.ServiceName
	HealthPath string
	// MaxConnections is how many connections one server accepts from all hosts together.
	MaxConnections int
	// Generates tells model services, whose requests are counted in tokens, from plain ones.
	GeneratesTokens bool
}

// Workspace is a tenant with its keys and rate.
type Workspace struct {
	ID   ids.WorkspaceID
	Keys []string
	// Priority goes before the route's, if set; 0 is the highest.
	Priority *int
	// RatePerSecond and Burst bound requests over all hosts; 0 means no limit.
	RatePerSecond float64
	Burst         float64
}

// Rank returns the priority of a workspace's request on a route.
func (r *Route) PriorityOf(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
