package directory

import "strconv"

// Incarnation distinguishes the starts of a server with the same id; 0 means unknown. Later starts have larger values.
type Incarnation int64

// String formats the incarnation for logs.
func (i Incarnation) String() string { return strconv.FormatInt(int64(i), 10) }
