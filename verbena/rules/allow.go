package rules

import "verbenaledge.example/verbena/ids"

// Allow lets a workspace use a service at a rate.
type Allow struct {
	Workspace ids.WorkspaceID
	Service   ids.ServiceName
	Limit     Limit
	// BatchWeight is the workspace's share of batch slots; 0 forbids batch work.
	BatchWeight float64
	AskedBy     string
}
