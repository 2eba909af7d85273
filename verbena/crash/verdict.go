package crash

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Verdict is what may be done with a request.
type Verdict int

// The verdicts.
const (
	// Clear requests run on any server.
	Clear Verdict = iota
	// Suspect requests run one at a time, on a server that gets no other request until it begins to answer.
	Suspect
	// Blocked requests don't run.
	Blocked
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	case Blocked:
		return "blocked"
	}
	return "unknown"
}

// Judgement is the verdict on a request for one software version.
type Judgement struct {
	Verdict Verdict
	// Crashes is how many crashes incriminate the request.
	Crashes int
	// Parts are the candidates among the request's parts.
	Parts []ids.PromptPartID
	// NextTrial is the time until a blocked request may run again as a suspect; 0 if none is planned.
	NextTrial time.Duration
	// ReportedBy is the host that reported all crashes because of which the request is blocked, if those of other hosts may be
	// tried at once: its path to the servers may be the cause.
	ReportedBy ids.HostID
}

// For returns the judgement on a request of a host.
func (j Judgement) For(host ids.HostID) Judgement {
	if j.Verdict == Blocked && j.ReportedBy != "" && j.ReportedBy != host {
		j.Verdict, j.NextTrial = Suspect, 0
	}
	return j
}
