package crash

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// clockTolerance is how much longer than a request a connection must have been open to count as the older one: its host's
// clock may go slightly faster.
const clockTolerance = 100 * time.Millisecond

// Survival is an answer that arrived on a connection opened at OpenedAt, or before, to a request placed at PlacedAt.
type Survival struct {
	Server             ids.BackendID
	Incarnation        directory.Incarnation
	OpenedAt, PlacedAt time.Time
}

// Survived removes the crashes that the answer refutes, and returns them: a crash ends all connections of its server, so
// there was none if a connection from before carried a request that was placed afterwards. Requests that
// were placed before the crash refute nothing, since their answers may have arrived before it.
func (rs *Reports) Survived(v Survival) (refuted []Report) {
	rs.list = slices.DeleteFunc(rs.list, func(r *Report) bool {
		if !r.refutedBy(v) {
			return false
		}
		refuted = append(refuted, *r)
		return true
	})
	if len(refuted) > 0 {
		rs.revision++
	}
	return refuted
}

func (r *Report) refutedBy(v Survival) bool {
	return r.Server == v.Server && r.Incarnation == v.Incarnation && !r.placedAt.IsZero() &&
		v.OpenedAt.Before(r.placedAt.Add(-clockTolerance)) && v.PlacedAt.After(r.lastAt)
}
