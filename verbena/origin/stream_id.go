// Package origin decides at which software version a stream may be resumed: the text of two versions must not be joined in
// one stream.
package origin

import (
	"crypto/sha256"

	"verbenaledge.example/verbena/ids"
)

// streamIDBytes makes collisions unlikely, also deliberate ones.
const streamIDBytes = 16

// StreamID names a stream by its workspace and by the request that brought its first event. Its size doesn't depend on
// what a caller sends, and no workspace can name a stream of another one.
type StreamID [streamIDBytes]byte

// NewStreamID returns the id of a stream whose first event a request of a workspace brought.
func NewStreamID(w ids.WorkspaceID, r ids.RequestID) (id StreamID) {
	h := sha256.New()
	_, _ = h.Write([]byte(w)) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(r))
	copy(id[:], h.Sum(nil))
	return id
}
