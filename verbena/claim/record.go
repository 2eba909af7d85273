// Package claim defines the stored claims of non-idempotent calls and decides how resends of such calls are answered.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/lease"
)

// Prefix is the prefix of the names of stored claims.
const Prefix = "claims/"

// MaxBodyBytes bounds the body of an answer that is stored for resends.
const MaxBodyBytes = 512 << 10

// State is the state of a claimed call.
type State string

// A call in state Started may still be running; Done and Unknown are final.
const (
	Started State = "started"
	Done    State = "done"
	Unknown State = "unknown"
)

// Record is a stored claim. It is created before the call is sent.
type Record struct {
	BodyHash string        `json:"body_hash"`
	Request  ids.RequestID `json:"request"`
	Holder   lease.ID      `json:"holder"`
	State    State         `json:"state"`
	// Status, ContentType and Body are the answer to a call in state Done.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Key identifies a call across all hosts.
type Key struct {
	Workspace      ids.WorkspaceID
	Service        ids.ServiceName
	IdempotencyKey string
}

// ObjectName returns the name of the claim's object.
func (k Key) ObjectName() string {
	sum := sha256.Sum256([]byte(string(k.Workspace) + "\x00" + string(k.Service) + "\x00" + k.IdempotencyKey))
	return Prefix + hex.EncodeToString(sum[:20])
}

// HashBody returns a hash that identifies a request's method, path and body.
func HashBody(method, path string, body []byte) string {
	sum := sha256.Sum256(append([]byte(method+"\x00"+path+"\x00"), body...))
	return hex.EncodeToString(sum[:])
}

// Parse decodes a stored claim.
func Parse(data []byte) (r Record, err error) {
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("parse claim: %w", err)
	}
	return r, nil
}

// Marshal encodes the claim for the store.
func (r Record) Marshal() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // records hold only strings, numbers and bytes
	}
	return data
}
