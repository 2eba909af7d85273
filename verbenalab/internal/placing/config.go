package placing

import "time"

// Policy is a way of placing requests on servers. Policies differ in the counts of used slots that a placement is based on.
type Policy string

// The policies.
const (
	// LocalCounts: each host places requests by its own counts and uses its part of the slots.
	LocalCounts Policy = "alone"
	// PeerCounts: each host places requests by its own counts and those that the other hosts sent last.
	PeerCounts Policy = "peers"
	// CentralDispatcher: one host has all counts, and the others send it a slot request for each request.
	CentralDispatcher Policy = "owner"
)

// Config describes a simulation.
type Config struct {
	Policy Policy
	// NoEarlyRefusal lets requests wait for as long as their callers do, instead of refusing them early.
	NoEarlyRefusal bool
	// PeerUpdateInterval is how often hosts send each other their counts, and so the greatest age of these.
	PeerUpdateInterval time.Duration
	// Servers is the number of servers, Slots the number of slots of each.
	Servers, Slots int
	// BatchItems is the number of batch items that run or wait at any time, ItemEvents the number of events in the answer to
	// each.
	BatchItems, ItemEvents int
	// FailingServers is the number of servers that fail callers' requests, each with the probability FailureRate. They
	// fail only requests of hosts with numbers below AffectedBelow, or of all hosts if that is 0.
	FailingServers int
	FailureRate    float64
	AffectedBelow  int
	// Objective is the time within which an answer is to start, CallerTimeout the time after which its caller
	// disconnects.
	Objective, CallerTimeout time.Duration
}

// StandardConfig returns the configuration under which the loads were recorded: nine servers with eight slots, and batch
// items at the same time.
func StandardConfig(p Policy) Config {
	return Config{
		Policy: p, PeerUpdateInterval: 250 * time.Millisecond, Servers: 9, Slots: 8, BatchItems: 40, ItemEvents: 200,
		Objective: time.Second, CallerTimeout: 5 * time.Second,
	}
}

// Result holds the measurements of a simulation.
type Result struct {
	Requests int
	// InTime counts requests whose answers started in time, Answered those whose answers started at all.
	InTime, Answered int
	// TimesToOutcome are the times until a caller knew whether it gets an answer, TimesToFailure those of the requests
	// that were never answered.
	TimesToOutcome, TimesToFailure Durations
	// FailedSends counts failed sends. Each of them is a lost request if the request must not be repeated.
	FailedSends int
	// ItemsDone counts completed batch items, ItemsYielded runs that yielded their slots.
	ItemsDone, ItemsYielded int
}
