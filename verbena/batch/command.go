package batch

import "verbenaledge.example/verbena/ids"

// Command is what a queue asks for.
type Command interface{ isCommand() }

// Dispatch gives items to a manager.
type AssignItems struct {
	Manager ids.HostID
	Items   []ItemRef
}

// Keep stores a result with the shard's next segment.
type StoreResult struct{ Result Result }

// GiveUp makes an error the result of an item that was tried too often.
type FailItem struct {
	Item   ItemRef
	Reason string
}

// StopItems tells a manager to cancel a job's running items.
type CancelItems struct {
	Manager ids.HostID
	Job     ids.JobID
}

// Close writes the job's results and its end state.
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
