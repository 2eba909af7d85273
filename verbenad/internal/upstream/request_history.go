package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// requestHistory holds which requests a connection has carried, by hashes of their ids. Ids with the same hash count as one.
type requestHistory struct{ hashes []uint64 }

func (h *requestHistory) add(id ids.RequestID) {
	h.hashes = append(h.hashes, xxhash.Sum64String(string(id)))
}

func (h *requestHistory) holds(id ids.RequestID) bool {
	return slices.Contains(h.hashes, xxhash.Sum64String(string(id)))
}

// count returns how many requests the connection has carried, repeated ones each time.
func (h *requestHistory) count() int { return len(h.hashes) }
