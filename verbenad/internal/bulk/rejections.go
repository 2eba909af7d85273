package bulk

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// maxItemRetryPause bounds the pause before an item that servers refuse for what it says of itself is sent again.
	maxItemRetryPause = 3 * time.Second
	// maxDoublings bounds the shift that computes that pause, so that it doesn't overflow.
	maxDoublings = 8
)

// rejections are the refusals of an item for what it says of itself since a server last ran it.
type rejections struct {
	count int
	// servers are those that refused the item; others are tried first.
	servers []ids.BackendID
}

func (r *rejections) add(server ids.BackendID) {
	r.count++
	r.servers = appendMissing(r.servers, server)
}

// pause returns the time before the item is sent again. It grows with the refusals, which end only when servers change.
func (r *rejections) pause() time.Duration {
	return min(maxItemRetryPause, itemRetryPause<<min(r.count, maxDoublings))
}
