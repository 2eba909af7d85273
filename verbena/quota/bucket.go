package quota

import "verbenaledge.example/verbena/ids"

// Bucket names one limit: a workspace's use of a service. An empty workspace
// stands for all callers of an open service.
type Bucket struct {
	Workspace ids.WorkspaceID `cbor:"1,keyasint"`
	Service   ids.ServiceName `cbor:"2,keyasint"`
}

// ShardName is the name that places the bucket's owner.
func (b Bucket) ShardName() string {
	if b.Workspace == "" {
		return "open/" + string(b.Service)
	}
	return "workspace/" + string(b.Workspace)
}
