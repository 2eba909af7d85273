package quota

import (
	"cmp"

	"verbenaledge.example/verbena/ids"
)

// Bucket identifies one limit: that of a workspace on a service. An empty workspace means all callers of an open
// service.
type Bucket struct {
	Workspace ids.WorkspaceID `cbor:"1,keyasint"`
	Service   ids.ServiceName `cbor:"2,keyasint"`
}

// ShardName returns the name whose shard decides which host owns the bucket.
func (b Bucket) ShardName() string {
	if b.Workspace == "" {
		return "open/" + string(b.Service)
	}
	return "workspace/" + string(b.Workspace)
}

// Compare orders buckets as the cmp package does.
func (b Bucket) Compare(c Bucket) int {
	if x := cmp.Compare(b.Workspace, c.Workspace); x != 0 {
		return x
	}
	return cmp.Compare(b.Service, c.Service)
}
