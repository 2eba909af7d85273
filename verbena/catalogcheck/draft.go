package catalogcheck

import "verbenaledge.example/verbena/catalog"

// Draft holds the parts of a configuration as they are stated, before catalog.New supplies defaults.
type Draft struct {
	Version    catalog.Version
	Routes     []catalog.Route
	Services   []catalog.Service
	Workspaces []catalog.Workspace
	Limits     catalog.Limits
	// MaxJobItems is the most items that a batch job may have.
	MaxJobItems int
}
