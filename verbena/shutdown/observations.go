package shutdown

import "time"

// observations sums up how the requests of a route ended in a period.
type observations struct {
	// count and total are those of complete responses.
	count   int
	total   time.Duration
	longest time.Duration
	// largest is the largest expected size of a complete response.
	largest    int
	unbuffered bool
}

func (o *observations) add(other observations) {
	o.count += other.count
	o.total += other.total
	o.longest = max(o.longest, other.longest)
	o.largest = max(o.largest, other.largest)
	o.unbuffered = o.unbuffered || other.unbuffered
}

// mean returns the mean duration, 0 without observations.
func (o *observations) mean() time.Duration { return o.total / time.Duration(max(1, o.count)) }

// covers reports whether responses of the size, 0 if unknown, were seen often enough.
func (o *observations) covers(size int) bool {
	return o.count >= minObservations && size <= o.largest && (size > 0 || o.largest == 0)
}
