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

// MaxItems is the most items in one job.
const MaxItems = 60_000

// State is where a job stands. Completed and Cancelled are final.
type State string

// The states of a job.
const (
	Open       State = "open"
	Cancelling State = "cancelling"
	Completed  State = "completed"
	Cancelled  State = "cancelled"
)

// Final tells whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Cancelled
}

// Job is the stored form of a batch job. It is created when the job is accepted;
// the owner of its shard writes it again at the end, and a cancel in between.
type Job struct {
	ID        ids.JobID       `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	Service   ids.ServiceName `json:"service"`
	Endpoint  string          `json:"endpoint"`
	File      ids.FileID      `json:"file"`
	// BodyHash tells a resend from another submission under the same idempotency key.
	BodyHash string            `json:"body_hash"`
	Items    int               `json:"items"`
	Created  time.Time         `json:"created"`
	Deadline time.Time         `json:"deadline"`
	Metadata map[string]string `json:"metadata,omitempty"`
	State    State             `json:"state"`
	// Completed and Failed count items; they are exact once the state is final.
	Completed       int       `json:"completed"`
	Failed          int       `json:"failed"`
	CancelRequested time.Time `json:"cancel_asked,omitzero"`
	Finished        time.Time `json:"finished,omitzero"`
	// OutputEpoch and OutputChunks name the result objects of a final job.
	OutputEpoch  ids.Epoch `json:"output_epoch,omitempty"`
	OutputChunks int       `json:"output_chunks,omitempty"`
}

// ParseJob reads the stored form.
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

// DeriveID names a job after its workspace and idempotency key, so that a resend
// to any host meets the same object.
func DeriveID(w ids.WorkspaceID, idempotencyKey string) ids.JobID {
	sum := sha256.Sum256([]byte("job\x00" + string(w) + "\x00" + idempotencyKey))
	return ids.JobID("batch_" + hex.EncodeToString(sum[:12]))
}

// ShardName is the name that places a job's owner.
func ShardName(j ids.JobID) string {
	return "job/" + string(j)
}

// ShardOf returns a job's shard.
func ShardOf(j ids.JobID, shards int) ids.ShardID {
	return shard.ForName(ShardName(j), shards)
}

// MarkerPrefix is the folder of the markers of a shard's open jobs.
func MarkerPrefix(s ids.ShardID) string {
	return fmt.Sprintf("open/%d/", s)
}

// ObjectName returns the name of a job's object.
func ObjectName(j ids.JobID) string {
	return jobsPrefix + string(j)
}

// MarkerName returns the name of the object by which the owner of a job's shard
// finds it. It stands while the job is open, and changes when the job is cancelled.
func MarkerName(j ids.JobID, shards int) string {
	return MarkerPrefix(ShardOf(j, shards)) + string(j)
}

// JobOfMarker reads a job's id from its marker's name.
func JobOfMarker(name string) ids.JobID {
	return ids.JobID(name[strings.LastIndex(name, "/")+1:])
}

// OutputFile names the file of a job's results.
func OutputFile(j ids.JobID) ids.FileID {
	return ids.FileID("file-out-" + string(j))
}

// JobOfOutputFile returns the job whose results a file holds.
func JobOfOutputFile(f ids.FileID) (j ids.JobID, ok bool) {
	name, ok := strings.CutPrefix(string(f), "file-out-")
	return ids.JobID(name), ok
}

// OutputName returns the name of one chunk of a job's results.
func OutputName(j ids.JobID, e ids.Epoch, chunk int) string {
	return fmt.Sprintf("outputs/%s/%d/%05d", j, e, chunk)
}
