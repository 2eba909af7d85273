package callerguard

import (
	"container/list"
	"time"
)

// state is what a connection is doing.
type state int

const (
	// unused means that nothing has arrived on a new connection.
	unused state = iota
	// idle means that a request was answered and nothing has arrived since.
	idle
	// unfinished means that a head has begun to arrive.
	unfinished
	// running means that a whole head has arrived, and the request is in progress.
	running
	// gone means that the connection was asked to close, or is closed.
	gone
)

// Member is a connection in a pool.
type Member struct {
	// end makes the connection close. It is called at most once until Resume, and must neither block nor call the pool.
	end   func(Reason)
	state state
	since time.Time
	// held are the bytes that are reserved for the connection, costly the part of them that counts as costly, and parsing the part
	// until its head is parsed.
	held, costly, parsing int64
	element               *list.Element
	// leaving is set between end and Close.
	leaving bool
}

// NewMember returns a connection that end makes close.
func NewMember(end func(Reason)) *Member { return &Member{end: end, state: gone} }
