package platform

import "crypto/rand"

// mark is unique to one write.
type mark string

func newMark() mark { return mark(rand.Text()) }
