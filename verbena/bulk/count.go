package bulk

// Count is how far the jobs of a ledger are.
type Stats struct {
	// Open counts jobs with results still to come; the others count their items.
	Open, Waiting, Running, Unwritten int
}

// Count counts what is open.
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
