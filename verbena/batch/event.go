package batch

import "verbenaledge.example/verbena/ids"

// Event is what happens to a queue.
type Event interface{ isEvent() }

// Loaded brings a job of an owned shard with the results that are committed.
type JobLoaded struct {
	Job     Job
	Results []Result
	// Weight is the workspace's share of batch slots.
	Weight float64
}

// Asked says that a manager has room for items of a service.
type ItemsRequested struct {
	Manager ids.HostID
	Service ids.ServiceName
	Max     int
}

// Finished brings an item's result.
type ItemFinished struct{ Result Result }

// Returned gives an item back without a result.
type ItemReturned struct {
	Item    ItemRef
	Manager ids.HostID
	// Yielded is true when the item made room for online work; it is no attempt.
	Yielded bool
	// Poisonous is true when the item takes backend servers down.
	Poisonous bool
	Reason    string
}

// Committed says that results are safe in the platform.
type ResultsCommitted struct{ Results []Result }

// CancelAsked says that the job's object asks for its end.
type CancelRequested struct{ Job ids.JobID }

// Held says that no more items of a job are to be given out here, or that they are again.
type JobPaused struct {
	Job    ids.JobID
	Paused bool
}

// Dropped says that the job has ended or has another owner.
type JobDropped struct{ Job ids.JobID }

// ManagersLive lists the hosts that may manage backend servers; items of others are
// taken for lost.
type ManagersChanged struct{ Hosts []ids.HostID }

// Tick says that time has passed.
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

// ItemRef names an item.
type ItemRef struct {
	Job   ids.JobID     `cbor:"1,keyasint"`
	Index ids.ItemIndex `cbor:"2,keyasint"`
}
