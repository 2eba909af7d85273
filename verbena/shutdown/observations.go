package shutdown

import "time"

// observations sums up how the requests of a route went in a period.
type observations struct {
	count   int
	longest time.Duration
	// largest is the largest expected size of a response.
	largest int
}

func (o *observations) add(other observations) {
	o.count += other.count
	o.longest = max(o.longest, other.longest)
	o.largest = max(o.largest, other.largest)
}
