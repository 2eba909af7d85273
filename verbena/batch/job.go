package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/shard"
)

const jobsPrefix = "jobs/"

// MaxItems is the maximum number of items in one job.
const MaxItems = 60_000

// State is a job's state. Completed and Cancelled are final.
type State string

// The states of a job.
const (
	Open       State = "open"
	Cancelling State = "cancelling"
	Completed  State = "completed"
	Cancelled  State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Cancelled
}

// Job is the stored form of a batch job. It is created when the job is accepted.
// A cancel request updates it, and so does the owner of its shard when the job ends.
type Job struct {
	ID        ids.JobID       `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Service   ids.ServiceName `json:"service"`
	Endpoint  string          `json:"endpoint"`
	File      ids.FileID      `json:"file"`
	// BodyHash distinguishes a repeated submission from a different one with the same
	// idempotency key.
	BodyHash string            `json:"body_hash"`
	Items    int               `json:"items"`
	Created  time.Time         `json:"created"`
	Deadline time.Time         `json:"deadline"`
	Metadata map[string]string `json:"metadata,omitempty"`
	State    State             `json:"state"`
	// Completed and Failed count items. They are exact once the state is final.
	Completed       int       `json:"completed"`
	Failed          int       `json:"failed"`
	CancelRequested time.Time `json:"cancel_asked,omitzero"`
	Finished        time.Time `json:"finished,omitzero"`
	// OutputEpoch and OutputChunks locate the output objects of a job in a final state.
	OutputEpoch  ids.Epoch `json:"output_epoch,omitempty"`
	OutputChunks int       `json:"output_chunks,omitempty"`
}

// ParseJob decodes the stored form.
func ParseJob(data []byte) (j Job, err error) {
	if err := json.Unmarshal(data, &j); err != nil {
		return Job{}, fmt.Errorf("parse job: %w", err)
	}
	return j, nil
}

// Marshal returns the stored form.
func (j Job) Marshal() []byte {
	data, err := json.Marshal(j)
	if err != nil {
		panic(err) // jobs hold only strings, numbers and times
	}
	return data
}

// DeriveID derives a job's id from its workspace and idempotency key, so that a
// repeated submission to any host gets the same id.
func DeriveID(w ids.WorkspaceID, idempotencyKey string) ids.JobID {
	sum := sha256.Sum256([]byte("job\x00" + string(w) + "\x00" + idempotencyKey))
	return ids.JobID("batch_" + hex.EncodeToString(sum[:12]))
}

// ShardName returns the name that determines a job's shard.
func ShardName(j ids.JobID) string {
	return "job/" + string(j)
}

// ShardOf returns a job's shard.
func ShardOf(j ids.JobID, shards int) ids.ShardID {
	return shard.ForName(ShardName(j), shards)
}

// MarkerPrefix returns the object name prefix of the markers of a shard's open jobs.
func MarkerPrefix(s ids.ShardID) string {
	return fmt.Sprintf("open/%d/", s)
}

// ObjectName returns the object name of a job.
func ObjectName(j ids.JobID) string {
	return jobsPrefix + string(j)
}

// MarkerName returns the object name of a job's marker, by which the owner of its
// shard finds the job. The marker exists while the job is open and gets a new version
// when the job is cancelled.
func MarkerName(j ids.JobID, shards int) string {
	return MarkerPrefix(ShardOf(j, shards)) + string(j)
}

// JobOfMarker returns the job id in a marker's object name.
func JobOfMarker(name string) ids.JobID {
	return ids.JobID(name[strings.LastIndex(name, "/")+1:])
}

// OutputFile returns the id of a job's output file.
func OutputFile(j ids.JobID) ids.FileID {
	return ids.FileID("file-out-" + string(j))
}

// JobOfOutputFile returns the job whose output a file holds.
func JobOfOutputFile(f ids.FileID) (j ids.JobID, ok bool) {
	name, ok := strings.CutPrefix(string(f), "file-out-")
	return ids.JobID(name), ok
}

// OutputName returns the object name of one chunk of a job's output.
func OutputName(j ids.JobID, e ids.Epoch, chunk int) string {
	return fmt.Sprintf("outputs/%s/%d/%05d", j, e, chunk)
}
