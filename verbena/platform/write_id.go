package platform

import "crypto/rand"

// writeID identifies one write.
type writeID string

func newWriteID() writeID { return writeID(rand.Text()) }
