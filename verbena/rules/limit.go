package rules

// Limit is a token bucket: requests a second and the most that may come at once.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}
