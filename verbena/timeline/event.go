// Package timeline records the state changes of a process, to be merged with those of other processes.
package timeline

import (
	"verbenaledge.example/verbena/hlc"
	"verbenaledge.example/verbena/ids"
)

// Event is one state change. It is encoded as JSON, in the timeline file and in answers to operators.
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
