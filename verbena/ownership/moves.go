package ownership

import (
	"sort"

	"verbenaledge.example/verbena/ids"
)

// Move describes units that one map gives to another host than the map before.
type Move struct {
	From, To ids.HostID
	Units    int
	// FromListed is whether the former owner has a lease in the observations on which the move was decided.
	FromListed bool
}

// Moves returns which units the next map moves, sorted by hosts.
func (w *Watcher) Moves(current, next Map) (moves []Move) {
	type pair struct{ from, to ids.HostID }
	count := make(map[pair]int)
	for u, o := range next.Units {
		if former := current.Units[u].Host; former != o.Host {
			count[pair{former, o.Host}]++
		}
	}
	for p, n := range count {
		_, listed := w.observed[p.from]
		moves = append(moves, Move{From: p.from, To: p.to, Units: n, FromListed: listed})
	}
	sort.Slice(moves, func(i, j int) bool {
		a, b := moves[i], moves[j]
		return a.From < b.From || a.From == b.From && a.To < b.To
	})
	return moves
}
