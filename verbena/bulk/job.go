// Package bulk holds the logic of batch jobs: which jobs are accepted, which item runs next, when an item is
// given up, and the order of results. It performs no I/O.
package bulk

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaledge.example/verbena/catalog"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

// Shard is the number of a partition of the workspaces; all batch jobs of a workspace are in one shard.
type Shard int

// Shards is the number of shards. It is also the largest number of hosts that can share the batch jobs.
const Shards Shard = 16

// ShardOf returns the shard of a workspace.
func ShardOf(w ids.WorkspaceID) Shard {
	return Shard(xxhash.Sum64String(string(w)) % uint64(Shards))
}

// Name returns the shard's name in the map of owners.
func (s Shard) Name() string {
	return fmt.Sprintf("jobs-%02d", int(s))
}

// ErrNoMemory means that there is no memory left to read a submission.
var ErrNoMemory = errors.New("no memory left to read the batch job")

// ItemID identifies an item within its job.
type ItemID string

// Item is one request of a job.
type Item struct {
	ID     ItemID            `json:"id" cbor:"1,keyasint"`
	Path   string            `json:"path" cbor:"2,keyasint"`
	Header map[string]string `json:"header,omitempty" cbor:"3,keyasint,omitempty"`
	Body   []byte            `json:"body,omitempty" cbor:"4,keyasint,omitempty"`
	// Tokens is the size of the prompt plus the largest permitted output.
	Tokens int64 `json:"tokens" cbor:"5,keyasint"`
}

// withoutInput returns what remains of an item once its result is visible.
func (i Item) withoutInput() Item { return Item{ID: i.ID, Tokens: i.Tokens} }

// DropInput removes the input of the items that won't run any more.
func DropInput(items []Item, isDone func(ItemID) bool) {
	for n := range items {
		if isDone(items[n].ID) {
			items[n] = items[n].withoutInput()
		}
	}
}

// Job is a batch job as submitted.
type Job struct {
	ID        ids.JobID       `json:"id" cbor:"1,keyasint"`
	Workspace ids.WorkspaceID `json:"workspace" cbor:"2,keyasint"`
	Route     string          `json:"route" cbor:"3,keyasint"`
	// Host is the Host header of the submission; the items' requests carry it too.
	Host string `json:"host" cbor:"4,keyasint"`
	// Submitted, Due and GiveUpAt are by the time of day of the host that took the submission. Other hosts' differ from it.
	Submitted time.Time `json:"submitted" cbor:"5,keyasint"`
	Due       time.Time `json:"due" cbor:"6,keyasint"`
	GiveUpAt  time.Time `json:"give_up" cbor:"7,keyasint"`
	Items     []Item    `json:"items" cbor:"8,keyasint"`
	// Parts counts the additional stored objects that hold items beyond those in the job's own object.
	Parts int `json:"parts,omitempty" cbor:"9,keyasint,omitempty"`
	// Configuration is the version under which the job was accepted, 0 in jobs from hosts of releases that didn't record it.
	Configuration catalog.Version `json:"configuration,omitempty" cbor:"10,keyasint,omitempty"`
	// MaxAttempts is the number of attempts that the route allowed then, 0 if it wasn't recorded.
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"11,keyasint,omitempty"`
}

// Tokens returns the sum of all items' tokens, or the largest number if that is less.
func (j *Job) Tokens() (n int64) {
	for _, i := range j.Items {
		n += min(i.Tokens, math.MaxInt64-n)
	}
	return n
}

// Headers returns the item's headers.
func (i Item) Headers() http.Header {
	h := make(http.Header, len(i.Header)+4)
	for k, v := range i.Header {
		h.Set(k, v)
	}
	return h
}

// State is the outcome of an item.
type State int

// The outcomes of an item.
const (
	Completed State = iota + 1
	Errored
)

// Result is the outcome and output of an item. Its position among the job's visible results never changes.
type Result struct {
	Item   ItemID `json:"item" cbor:"1,keyasint"`
	State  State  `json:"state" cbor:"2,keyasint"`
	Output string `json:"output,omitempty" cbor:"3,keyasint,omitempty"`
}

// ListedOutput returns an output as it is stored and listed: each byte that is no UTF-8 is replaced by U+FFFD, as in JSON.
func ListedOutput[S ~string | ~[]byte](output S) string {
	return strings.Map(func(r rune) rune { return r }, string(output))
}

// resultOverheadBytes bounds the encoded size of a result apart from its id and output.
const resultOverheadBytes = 64

// EncodedSize bounds the size of the result in JSON, stored or in an answer to a read.
func (r Result) EncodedSize() int {
	return resultOverheadBytes + objects.EncodedSize(r.Item) + objects.EncodedSize(r.Output)
}

// Segment is a stored group of results that become visible together.
type Segment struct {
	Results []Result `json:"results"`
	// Writer identifies the write that took effect.
	Writer string `json:"writer"`
}

// JobStatus is the stored status of a job. Ended means that its caller ended it.
type JobStatus struct {
	Ended bool `json:"ended"`
}
