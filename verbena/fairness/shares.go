package fairness

import (
	"math"
	"slices"
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// minWeight is the weight of a workspace whose rate is 0, so that it isn't beyond its share while nobody else wants more.
	minWeight = 0.001
	// tolerance is the excess, in slots, that is due to rounding.
	tolerance = 1e-6
)

// claim is what a workspace uses, and what it uses or wants, in slots.
type claim struct {
	workspace         ids.WorkspaceID
	weight, use, want float64
}

// Beyond returns the workspaces that use more than their share of a number of slots. waiting counts the slots that workspaces
// want in addition to those that they hold. weight returns a workspace's weight; workspaces without one take no part, and what
// they use isn't shared out. left is what all others leave to the workspaces beyond their share.
func (a *Account) Beyond(
	now time.Time, slots float64, waiting map[ids.WorkspaceID]int, weight func(ids.WorkspaceID) (float64, bool),
) (beyond map[ids.WorkspaceID]bool, left float64) {
	a.removeIdle(now)
	claims := make([]claim, 0, len(a.holders)+len(waiting))
	for w, h := range a.holders {
		use := h.use()
		if weight, ok := weight(w); ok {
			claims = append(claims, claim{w, math.Max(minWeight, weight), use, math.Max(use, float64(h.held+waiting[w]))})
			continue
		}
		slots -= use
	}
	for w, n := range waiting {
		if _, ok := a.holders[w]; ok {
			continue
		}
		if weight, ok := weight(w); ok {
			claims = append(claims, claim{w, math.Max(minWeight, weight), 0, float64(n)})
		}
	}
	level := waterLevel(claims, math.Max(0, slots))
	beyond = make(map[ids.WorkspaceID]bool)
	left = slots
	for _, c := range claims {
		if c.use > c.weight*level+tolerance {
			beyond[c.workspace] = true
			continue
		}
		if h, ok := a.holders[c.workspace]; ok {
			left -= h.average
		}
	}
	return beyond, math.Max(0, left)
}

// waterLevel returns the slots for each unit of weight that claims which want more get; it is infinite if all get what they want.
func waterLevel(claims []claim, slots float64) (level float64) {
	slices.SortFunc(claims, func(x, y claim) int {
		switch d := x.want*y.weight - y.want*x.weight; {
		case d < 0:
			return -1
		case d > 0:
			return 1
		}
		return 0
	})
	weights := 0.0
	for _, c := range claims {
		weights += c.weight
	}
	for _, c := range claims {
		level = slots / weights
		if c.want > c.weight*level {
			return level
		}
		slots -= c.want
		weights -= c.weight
	}
	return math.Inf(1)
}
