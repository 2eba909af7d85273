package batch

import "verbenaledge.example/verbena/ids"

// Command is an action that a queue requests from its caller.
type Command interface{ isCommand() }

// AssignItems assigns items to a manager, the host that manages a backend server's slots.
type AssignItems struct {
	Manager ids.HostID
	Items   []ItemRef
}

// StoreResult adds a result to the shard's next segment.
type StoreResult struct{ Result Result }

// FailItem records an error as the result of an item that has used up its attempts.
type FailItem struct {
	Item   ItemRef
	Reason string
}

// CancelItems requests that a manager cancels a job's running items.
type CancelItems struct {
	Manager ids.HostID
	Job     ids.JobID
}

// CloseJob writes the job's output and its final state.
type CloseJob struct {
	Job       ids.JobID
	State     State
	Completed int
	Failed    int
}

func (AssignItems) isCommand() {}
func (StoreResult) isCommand() {}
func (FailItem) isCommand()    {}
func (CancelItems) isCommand() {}
func (CloseJob) isCommand()    {}
