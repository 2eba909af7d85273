package batch

import "verbenaledge.example/verbena/ids"

// Event is what happens to a queue.
type Event interface{ isEvent() }

// Loaded brings a job of an owned shard with the results that are committed.
type Loaded struct {
	Job     Job
	Results []Result
	// Weight is the workspace's share of batch slots.
	Weight float64
}

// Asked says that a manager has room for items of a service.
type Asked struct {
	Manager ids.HostID
	Service ids.ServiceName
	Max     int
}

// Finished brings an item's result.
type Finished struct{ Result Result }

// Returned gives an item back without a result.
type Returned struct {
	Item    ItemRef
	Manager ids.HostID
	// Yielded is true when the item made room for online work; it is no attempt.
	Yielded bool
	// Poisonous is true when the item takes backend servers down.
	Poisonous bool
	Reason    string
}

// Committed says that results are safe in the platform.
type Committed struct{ Results []Result }

// CancelAsked says that the job's object asks for its end.
type CancelAsked struct{ Job ids.JobID }

// Held says that no more items of a job are to be given out here, or that they are again.
type Held struct {
	Job ids.JobID
	On  bool
}

// Dropped says that the job has ended or has another owner.
type Dropped struct{ Job ids.JobID }

// ManagersLive lists the hosts that may manage backend servers; items of others are
// taken for lost.
type ManagersLive struct{ Hosts []ids.HostID }

// Tick says that time has passed.
type Tick struct{}

func (Loaded) isEvent()       {}
func (Asked) isEvent()        {}
func (Finished) isEvent()     {}
func (Returned) isEvent()     {}
func (Committed) isEvent()    {}
func (CancelAsked) isEvent()  {}
func (Held) isEvent()         {}
func (Dropped) isEvent()      {}
func (ManagersLive) isEvent() {}
func (Tick) isEvent()         {}

// ItemRef names an item.
type ItemRef struct {
	Job   ids.JobID     `cbor:"1,keyasint"`
	Index ids.ItemIndex `cbor:"2,keyasint"`
}
