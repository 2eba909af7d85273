// Package retry decides whether a workspace's request may be retried.
package retry

import "verbenaledge.example/verbena/ids"

// Budget lets each workspace retry a share of its requests, so that retries can't multiply the load when many requests
// fail at once.
type Budget struct {
	share   float64
	reserve float64
	tokens  map[ids.WorkspaceID]float64
}

// NewBudget returns a budget in which each request adds share to its workspace's retries. A workspace starts with
// reserve retries and never has more.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: map[ids.WorkspaceID]float64{}}
}

// Earn records a first attempt: it adds the share to the workspace's budget.
func (b *Budget) Earn(w ids.WorkspaceID) {
	b.tokens[w] = min(b.level(w)+b.share, b.reserve)
}

// Spend takes one retry from the workspace's budget. ok is false if less than one is left.
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
