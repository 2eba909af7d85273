package bulk

// Stats summarizes the open jobs of a ledger.
type Stats struct {
	// Open counts the jobs that still lack results; the other fields count the items of these jobs.
	Open, Waiting, Running, Unwritten int
}

// Stats returns the counts of open jobs and their items.
func (l *Ledger) Stats() (s Stats) {
	for _, r := range l.jobs {
		if !r.Open() {
			continue
		}
		s.Open++
		s.Unwritten += len(r.Pending)
		for _, p := range r.items {
			switch p.state {
			case itemWaiting:
				s.Waiting++
			case itemRunning:
				s.Running++
			case itemDone:
			}
		}
	}
	return s
}
