// Package fairness decides which workspaces use more than their share of scarce slots, by weighted max-min fairness: nobody
// gets more than it wants, and what is left is divided by weight among those that want more.
package fairness

import (
	"math"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// averagingTime is the time constant for averaging the slots that a workspace holds: the last second has 86 parts in 100
	// of the weight.
	averagingTime = 500 * time.Millisecond
	// negligibleUse is an average, in slots, that counts as none.
	negligibleUse = 0.001
)

// Account keeps the use of slots by workspace. The zero value knows of no use.
type Account struct {
	holders map[ids.WorkspaceID]*holder
}

// holder is a workspace's use: the slots that it holds, and their average until updatedAt.
type holder struct {
	held      int
	average   float64
	updatedAt time.Time
}

func (h *holder) update(now time.Time) {
	if elapsed := now.Sub(h.updatedAt); elapsed > 0 {
		h.average += (float64(h.held) - h.average) * (1 - math.Exp(-float64(elapsed)/float64(averagingTime)))
		h.updatedAt = now
	}
}

// use is the workspace's use: the average, or what it holds now if that is more, as one that took many slots at once would
// else count as a small user for most of a second.
func (h *holder) use() float64 { return math.Max(h.average, float64(h.held)) }

// Begin records that a workspace gets a slot.
func (a *Account) Begin(now time.Time, w ids.WorkspaceID) {
	h, ok := a.holders[w]
	if !ok {
		if a.holders == nil {
			a.holders = make(map[ids.WorkspaceID]*holder)
		}
		h = &holder{updatedAt: now}
		a.holders[w] = h
	}
	h.update(now)
	h.held++
}

// End records that a workspace returns a slot.
func (a *Account) End(now time.Time, w ids.WorkspaceID) {
	h, ok := a.holders[w]
	if !ok {
		return
	}
	h.update(now)
	h.held = max(0, h.held-1)
}

// Use returns how many slots a workspace uses.
func (a *Account) Use(now time.Time, w ids.WorkspaceID) float64 {
	h, ok := a.holders[w]
	if !ok {
		return 0
	}
	h.update(now)
	return h.use()
}

// removeIdle forgets the workspaces that hold no slot and whose average is negligible.
func (a *Account) removeIdle(now time.Time) {
	for w, h := range a.holders {
		h.update(now)
		if h.held == 0 && h.average < negligibleUse {
			delete(a.holders, w)
		}
	}
}
