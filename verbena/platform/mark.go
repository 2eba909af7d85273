package platform

import (
	"bytes"
	"crypto/rand"
)

const markBytes = 16

// mark is unique to one write, so that a writer whose answer was lost can tell
// by reading back whether its write took effect.
type mark [markBytes]byte

func newMark() (m mark) {
	_, _ = rand.Read(m[:]) // never fails
	return m
}

func (m mark) wrap(value []byte) []byte {
	return append(append(make([]byte, 0, markBytes+len(value)), m[:]...), value...)
}

func (m mark) wrote(stored []byte) bool {
	return bytes.HasPrefix(stored, m[:])
}

func unwrap(stored []byte) []byte {
	if len(stored) < markBytes {
		return nil
	}
	return stored[markBytes:]
}
