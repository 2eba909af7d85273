package keys

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Record is what is stored of a key, never the key itself.
type Record struct {
	ID        ids.KeyID       `json:"id"`
	Workspace ids.WorkspaceID `json:"workspace"`
	// Hash is the SHA-256 of the whole key, in hex.
	Hash   string    `json:"hash"`
	Issued time.Time `json:"issued"`
}
