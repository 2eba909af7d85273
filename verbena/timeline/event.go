// Package timeline is the record of state changes that every process keeps.
package timeline

import (
	"verbenaledge.example/verbena/hlc"
	"verbenaledge.example/verbena/ids"
)

// Event is one change of state, a JSON line in the file and on the wire.
type Event struct {
	Stamp     hlc.Timestamp   `json:"stamp"`
	Host      ids.HostID      `json:"host"`
	Kind      Kind            `json:"kind"`
	Job       ids.JobID       `json:"job,omitempty"`
	Request   ids.RequestID   `json:"request,omitempty"`
	Workspace ids.WorkspaceID `json:"workspace,omitempty"`
	Backend   ids.BackendID   `json:"backend,omitempty"`
	Detail    string          `json:"detail,omitempty"`
}
