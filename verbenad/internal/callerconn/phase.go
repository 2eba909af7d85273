package callerconn

// phase is what a connection is used for.
type phase int

const (
	// idle means that no byte of the next request was read.
	idle phase = iota
	// head means that a part of the next request's head was read.
	head
	// active means that a request is in progress.
	active
)
