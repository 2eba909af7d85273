// Package retry decides whether a workspace may have a request sent once more.
package retry

import "verbenaledge.example/verbena/ids"

// Budget lets each workspace retry a share of its requests, so that retries
// can't multiply the load when much fails at once.
type Budget struct {
	share   float64
	reserve float64
	tokens  map[ids.WorkspaceID]float64
}

// NewBudget returns a budget of a share of requests, with a reserve to start from.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: map[ids.WorkspaceID]float64{}}
}

// Earn notes a first try.
func (b *Budget) Earn(w ids.WorkspaceID) {
	b.tokens[w] = min(b.level(w)+b.share, b.reserve)
}

// Spend takes one retry, if the budget has it.
func (b *Budget) Spend(w ids.WorkspaceID) (ok bool) {
	if b.level(w) < 1 {
		return false
	}
	b.tokens[w] = b.level(w) - 1
	return true
}

func (b *Budget) level(w ids.WorkspaceID) float64 {
	t, known := b.tokens[w]
	if !known {
		return b.reserve
	}
	return t
}
