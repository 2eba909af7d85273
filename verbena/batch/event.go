package batch

import "verbenaledge.example/verbena/ids"

// Event is an input of a queue.
type Event interface{ isEvent() }

// JobLoaded adds a job of an owned shard with its committed results.
type JobLoaded struct {
	Job     Job
	Results []Result
	// Weight sets the workspace's share of batch slots relative to other workspaces.
	Weight float64
}

// ItemsRequested reports that a manager has free slots for up to Max items of a service.
type ItemsRequested struct {
	Manager ids.HostID
	Service ids.ServiceName
	Max     int
}

// ItemFinished reports an item's result.
type ItemFinished struct{ Result Result }

// ItemReturned reports that a manager returned an item without a result.
type ItemReturned struct {
	Item    ItemRef
	Manager ids.HostID
	// Yielded is true when the return doesn't count as an attempt: the item gave up its
	// slot, for example to online requests, never ran, or was lost with its manager.
	Yielded bool
	// Crashed is true when servers crashed while they ran the item. The item isn't the cause, so this is no attempt.
	Crashed bool
	Reason  string
}

// ResultsCommitted reports that results are stored in the platform.
type ResultsCommitted struct{ Results []Result }

// CancelRequested reports that the job's stored object is in state cancelling.
type CancelRequested struct{ Job ids.JobID }

// JobPaused pauses or resumes the assignment of a job's items.
type JobPaused struct {
	Job    ids.JobID
	Paused bool
}

// JobDropped reports that the job has ended or has another owner.
type JobDropped struct{ Job ids.JobID }

// ManagersChanged lists the hosts that may manage backend servers. Items assigned to
// other hosts are considered lost and queued again.
type ManagersChanged struct{ Hosts []ids.HostID }

// Tick makes the queue check the time limits of assigned items.
type Tick struct{}

func (JobLoaded) isEvent()        {}
func (ItemsRequested) isEvent()   {}
func (ItemFinished) isEvent()     {}
func (ItemReturned) isEvent()     {}
func (ResultsCommitted) isEvent() {}
func (CancelRequested) isEvent()  {}
func (JobPaused) isEvent()        {}
func (JobDropped) isEvent()       {}
func (ManagersChanged) isEvent()  {}
func (Tick) isEvent()             {}

// ItemRef identifies an item by its job and index.
type ItemRef struct {
	Job   ids.JobID     `cbor:"1,keyasint"`
	Index ids.ItemIndex `cbor:"2,keyasint"`
}
