package batch

import "verbenaledge.example/verbena/ids"

// Command is what a queue asks for.
type Command interface{ isCommand() }

// Dispatch gives items to a manager.
type Dispatch struct {
	Manager ids.HostID
	Items   []ItemRef
}

// Keep stores a result with the shard's next segment.
type Keep struct{ Result Result }

// GiveUp makes an error the result of an item that was tried too often.
type GiveUp struct {
	Item   ItemRef
	Reason string
}

// StopItems tells a manager to cancel a job's running items.
type StopItems struct {
	Manager ids.HostID
	Job     ids.JobID
}

// Close writes the job's results and its end state.
type Close struct {
	Job       ids.JobID
	State     State
	Completed int
	Failed    int
}

func (Dispatch) isCommand()  {}
func (Keep) isCommand()      {}
func (GiveUp) isCommand()    {}
func (StopItems) isCommand() {}
func (Close) isCommand()     {}
