package bulk

// Stats summarizes the open jobs of a ledger.
type Stats struct {
	// Open counts the jobs that still lack results; the other fields count the items of these jobs.
	Open, Waiting, Running, Unwritten int
}

// Stats returns the counts of open jobs and their items.
func (l *Ledger) Stats() (c Stats) {
	for _, r := range l.jobs {
		if !r.Open() {
			continue
		}
		c.Open++
		c.Unwritten += len(r.Pending)
		for _, p := range r.items {
			switch p.state {
			case itemWaiting:
				c.Waiting++
			case itemRunning:
				c.Running++
			case itemDone:
			}
		}
	}
	return c
}
