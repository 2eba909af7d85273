package poison

import (
	"crypto/sha256"
	"encoding/hex"

	"verbenaledge.example/verbena/ids"
)

// Fingerprint identifies a workspace's request by its path and body.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(w ids.WorkspaceID, path string, body []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(string(w) + "\x00" + path + "\x00")) // never fails
	_, _ = h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}
