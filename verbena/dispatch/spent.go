package dispatch

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

const (
	// spentSpan is how far back a host reports what it was admitted elsewhere: the span over which rates are judged.
	spentSpan = 5 * time.Second
	// spentParts is the number of parts of the span that are counted apart, and the one that fills.
	spentParts = 11
	spentPart  = spentSpan / (spentParts - 1)
)

// Spent counts what was admitted lately, by who decided it. Who decides next goes by what others admitted as well: a
// burst that was spent at one of them isn't there again at another.
type AdmissionCounts struct {
	parts [spentParts]spentCounts
}

type spentCounts struct {
	number int64
	counts map[spentKey]int
}

type spentKey struct {
	by        int
	workspace ids.WorkspaceID
}

// Add counts requests that were admitted by someone.
func (s *AdmissionCounts) Add(now time.Time, by int, w ids.WorkspaceID, requests int) {
	n := now.UnixNano() / int64(spentPart)
	p := &s.parts[n%spentParts]
	if p.number != n || p.counts == nil {
		*p = spentCounts{number: n, counts: make(map[spentKey]int)}
	}
	p.counts[spentKey{by, w}] += requests
}

// Total is what all have admitted lately of a workspace.
func (s *AdmissionCounts) Total(now time.Time, w ids.WorkspaceID) (n int) {
	oldest := now.Add(-spentSpan).UnixNano() / int64(spentPart)
	for _, p := range s.parts {
		if p.number < oldest {
			continue
		}
		n += p.counts[spentKey{spentHere, w}] + p.counts[spentKey{spentElsewhere, w}]
	}
	return n
}

// Who admitted what, in the count of a machine.
const (
	spentHere = iota
	spentElsewhere
)

// Elsewhere is what others than the named one have admitted lately, and since its last report, by workspace.
func (s *AdmissionCounts) ByOthers(now, since time.Time, by int) map[ids.WorkspaceID]int {
	if earliest := now.Add(-spentSpan); since.Before(earliest) {
		since = earliest
	}
	oldest := since.UnixNano() / int64(spentPart)
	sums := make(map[ids.WorkspaceID]int)
	for _, p := range s.parts {
		if p.number < oldest {
			continue
		}
		for k, n := range p.counts {
			if k.by != by {
				sums[k.workspace] += n
			}
		}
	}
	return sums
}
