// Package bulk decides on batch jobs: what is accepted, which item runs next, when an item is given
// up, and in which order results stand. It has no input or output.
package bulk

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/ids"
)

// Shard numbers a part of the workspaces; all batch jobs of a workspace are in one shard.
type Shard int

// Shards is the number of shards. It bounds how many hosts share the batch jobs.
const Shards Shard = 16

// ShardOf returns the shard of a workspace.
func ShardOf(w ids.WorkspaceID) Shard {
	return Shard(xxhash.Sum64String(string(w)) % uint64(Shards))
}

// Name is the shard's name in the map of owners.
func (s Shard) Name() string {
	return fmt.Sprintf("jobs-%02d", int(s))
}

// ItemID names an item in its job.
type ItemID string

// Item is one request of a job.
type Item struct {
	ID     ItemID            `json:"id" cbor:"1,keyasint"`
	Path   string            `json:"path" cbor:"2,keyasint"`
	Header map[string]string `json:"header,omitempty" cbor:"3,keyasint,omitempty"`
	Body   []byte            `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	// Tokens is the prompt and the longest output together.
	Tokens int64 `json:"tokens" cbor:"5,keyasint"`
}

// Job is a batch job as it was accepted.
type Job struct {
	ID        ids.JobID       `json:"id" cbor:"1,keyasint"`
	Workspace ids.WorkspaceID `json:"workspace" cbor:"2,keyasint"`
	Route     string          `json:"route" cbor:"3,keyasint"`
	Host      string          `json:"host" cbor:"4,keyasint"`
	// Submitted is the time of day of the acceptance.
	Submitted time.Time `json:"submitted" cbor:"5,keyasint"`
	Due       time.Time `json:"due" cbor:"6,keyasint"`
	GiveUpAt  time.Time `json:"give_up" cbor:"7,keyasint"`
	Items     []Item    `json:"items" cbor:"8,keyasint"`
	// Parts counts the objects beside the job's own that hold further items.
	Parts int `json:"parts,omitempty" cbor:"9,keyasint,omitempty"`
}

// Tokens sums the tokens of all items.
func (j *Job) Tokens() (n int64) {
	for _, i := range j.Items {
		n += i.Tokens
	}
	return n
}

// Headers returns an item's headers.
func (i Item) Headers() http.Header {
	h := make(http.Header, len(i.Header)+4)
	for k, v := range i.Header {
		h.Set(k, v)
	}
	return h
}

// State says how an item ended.
type State int

// The ends of an item.
const (
	Completed State = iota + 1
	Errored
)

// Result is an item's end. Its position among the job's results never changes.
type Result struct {
	Item   ItemID `json:"item" cbor:"1,keyasint"`
	State  State  `json:"state" cbor:"2,keyasint"`
	Output string `json:"output,omitempty" cbor:"3,keyasint,omitempty"`
}

// Segment is a group of results that became visible at once.
type Segment struct {
	Results []Result `json:"results"`
	// Writer tells whose write took effect.
	Writer string `json:"writer"`
}

// End is the status of a job whose caller ended it.
type JobStatus struct {
	Ended bool `json:"ended"`
}
