package lease

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Command is an operation that a holder asks its host to execute, or a change that it reports to it.
type Command interface{ isCommand() }

// Create is a request to create the lease object of a new term.
type Create struct {
	Term   ids.Term
	Sent   time.Time
	Guards []ids.HostID
}

// Renew is a request to update the lease object if it still has the expected version.
type Renew struct {
	Term     ids.Term
	Expected ids.Version
	Sent     time.Time
	Guards   []ids.HostID
}

// Remove is a request to delete the lease object, so that successors need not wait until it expires.
type Remove struct {
	Term     ids.Term
	Expected ids.Version
}

// Acquired reports that a new term has begun.
type Acquired struct{ Term ids.Term }

// Lost reports that a term has ended for good because a monitor has deleted the lease.
type Lost struct{ Term ids.Term }

func (Create) isCommand()   {}
func (Renew) isCommand()    {}
func (Remove) isCommand()   {}
func (Acquired) isCommand() {}
func (Lost) isCommand()     {}
