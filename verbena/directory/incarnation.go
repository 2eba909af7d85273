package directory

import "strconv"

// Incarnation tells the starts of a server under one id apart; 0 means unknown. Later starts have larger values.
type Incarnation int64

// String spells the incarnation for logs.
func (i Incarnation) String() string { return strconv.FormatInt(int64(i), 10) }
