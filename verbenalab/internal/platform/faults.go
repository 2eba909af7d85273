package platform

import "time"

// Faults describes the faults that the stand-in injects.
type Faults struct {
	// Down makes every call fail with 503.
	Down bool `json:"down"`
	// Delay is added to the duration of every call.
	Delay time.Duration `json:"slow_ns"`
	// LoseAnswers is how many of the next writes take effect but get no answer.
	LoseAnswers int `json:"lose_answers"`
	// HostLag is the delay until a change of the host list becomes visible.
	HostLag time.Duration `json:"host_lag_ns"`
}
