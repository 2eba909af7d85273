package limit

import (
	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// minLocalPerSecond is the least part of a limit that a host gets which decides without the others.
const minLocalPerSecond = 1.0

// Hosts is a host's place among those that send requests.
type Hosts struct {
	// Count is how many hosts there are, Rank the place of this one, counted from 1; 0 means that it isn't known.
	Count, Rank int
}

// ShareOf returns the part of a server's limit that a host may use which decides without the others. Each server is left to
// as many hosts as get minLocalPerSecond of its limit, at least one, since a part of a few requests an hour serves nobody.
// Hosts with the same count and different ranks have parts that add up to 1.
func (h Hosts) ShareOf(server ids.BackendID, perSecond RequestsPerSecond) float64 {
	count := max(1, h.Count)
	if h.Rank < 1 || h.Rank > count {
		return 1 / float64(count)
	}
	users := count
	if float64(perSecond) < float64(count)*minLocalPerSecond {
		users = max(1, int(float64(perSecond)/minLocalPerSecond))
	}
	first := int(xxhash.Sum64String(string(server)) % uint64(count))
	if (h.Rank-1-first+count)%count >= users {
		return 0
	}
	return 1 / float64(users)
}
