package timeline

import (
	"slices"

	"verbenaledge.example/verbena/ids"
)

// Filter selects events. An empty field matches any value.
type Filter struct {
	Host      ids.HostID
	Job       ids.JobID
	Request   ids.RequestID
	Workspace ids.WorkspaceID
}

// Match reports whether the event is selected.
func (f Filter) Match(e Event) bool {
	return matches(f.Host, e.Host) && matches(f.Job, e.Job) &&
		matches(f.Request, e.Request) && matches(f.Workspace, e.Workspace)
}

func matches[T ~string](want, got T) bool {
	return want == "" || want == got
}

// Merge returns the events of several hosts in one list, ordered by timestamp.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(x, y Event) int { return x.Stamp.Compare(y.Stamp) })
	return all
}
