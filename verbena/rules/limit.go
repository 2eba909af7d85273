package rules

// Limit is a token bucket: a rate in requests per second, and the size of the largest burst.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}
