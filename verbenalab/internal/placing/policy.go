package placing

import "time"

// Policy is a way of placing requests.
type Policy string

// The policies.
const (
	// Alone: each host goes by its own counts and a part of the slots.
	Alone Policy = "alone"
	// Peers: each host goes by its own counts and those that the others pushed, a moment old.
	Peers Policy = "peers"
	// Owner: one host knows all counts; the others ask it for each request.
	Owner Policy = "owner"
)

// Setup says what to play.
type Setup struct {
	Policy Policy
	// Waits lets requests wait as long as their callers do in place of being refused early.
	Waits bool
	// PeersEvery is how often peers push their counts, and so how old these are at most.
	PeersEvery time.Duration
	// Servers have Slots each.
	Servers, Slots int
	// Items is the number of batch items that wait at any time, each of ItemEvents events.
	Items, ItemEvents int
	// Ill servers fail IllShare of the sends of the first IllHosts hosts, or of all if that is 0.
	Ill      int
	IllShare float64
	IllHosts int
	// Objective is when an answer's start is late, Patience when its caller leaves.
	Objective, Patience time.Duration
}

// Standard is the setting of the recorded loads: nine servers with eight slots, and batch beside.
func Standard(p Policy) Setup {
	return Setup{
		Policy: p, PeersEvery: 250 * time.Millisecond, Servers: 9, Slots: 8, Items: 40, ItemEvents: 200,
		Objective: time.Second, Patience: 5 * time.Second,
	}
}

// Result is what callers saw.
type Result struct {
	Requests int
	// InTime and Answered count requests whose answers started in time, and at all.
	InTime, Answered int
	// Words are the times until a caller knew that its answer comes or that none will, for all requests and
	// for those that were never answered.
	Words, WordsUnanswered Times
	// Failed counts sends that failed; each is one that a caller who may not repeat its request loses.
	Failed int
	// ItemsDone counts batch items, ItemsCut runs of them that gave way.
	ItemsDone, ItemsCut int
}
