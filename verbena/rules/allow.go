package rules

import "verbenaledge.example/verbena/ids"

// Allow lets a workspace use a service at a rate.
type Allow struct {
	Workspace ids.WorkspaceID
	Service   ids.ServiceName
	Limit     Limit
	// BatchWeight is the workspace's weight in sharing batch slots; 0 forbids batch work.
	BatchWeight float64
	// AskedBy names who asked for the rule, here and in the other kinds of rules.
	AskedBy string
}
