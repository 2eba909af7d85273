package lease

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Command is what a holder asks for.
type Command interface{ isCommand() }

// Create asks to create the lease object of a new term.
type Create struct {
	Term   ids.Term
	Sent   time.Time
	Guards []ids.HostID
}

// Renew asks to update the lease object if it still has the expected version.
type Renew struct {
	Term     ids.Term
	Expected ids.Version
	Sent     time.Time
	Guards   []ids.HostID
}

// Remove asks to delete the lease object, so that successors need not wait.
type Remove struct {
	Term     ids.Term
	Expected ids.Version
}

// Acquired says that a new term has begun.
type Acquired struct{ Term ids.Term }

// Lost says that a term has ended for good: a monitor has deleted the lease.
type Lost struct{ Term ids.Term }

func (Create) isCommand()   {}
func (Renew) isCommand()    {}
func (Remove) isCommand()   {}
func (Acquired) isCommand() {}
func (Lost) isCommand()     {}
