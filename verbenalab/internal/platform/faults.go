package platform

import "time"

// Faults is what the stand-in is told to get wrong.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Slow is added to every call.
	Delay time.Duration `json:"slow_ns"`
	// LoseAnswers is how many of the next writes take effect and then get no answer.
	LoseAnswers int `json:"lose_answers"`
	// HostLag is how late changes of the host list show.
	HostLag time.Duration `json:"host_lag_ns"`
}
