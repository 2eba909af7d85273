// Package completion decides whether a stream of events is complete if the only sign of its end is an orderly close of a
// server's connection: a server that crashes may close it in the same way. Several servers may have sent the stream, one
// after another. The package does no input or output.
package completion

import "verbenaledge.example/verbena/ids"

// Verdict is what an orderly close of a server's connection says about a stream.
type Verdict int

const (
	// Broken means that the stream was broken off.
	Broken Verdict = iota
	// Unconfirmed means that the stream may be complete. Another server that is asked for the events after the last one
	// can confirm it.
	Unconfirmed
	// Agreed means that another server has claimed the same end. Only a crash of both at the same event looks alike.
	Agreed
	// Complete means that the stream is complete.
	Complete
)

// String returns the name that scripts use.
func (v Verdict) String() string {
	switch v {
	case Broken:
		return "broken"
	case Unconfirmed:
		return "unconfirmed"
	case Agreed:
		return "agreed"
	case Complete:
		return "complete"
	}
	return "unknown"
}

// Stream tracks a stream of events at its receiver. The zero value is a stream without events.
type Stream struct {
	// hasEvents is set once the receiver has an event, responseHasEvents once the current response has brought one.
	hasEvents         bool
	responseHasEvents bool
	// server is the server of the current response.
	server ids.BackendID
	// endClaimed is set if a server closed its connection in order after the last event.
	endClaimed bool
	// senderClaimedEnd is set if that server had sent events in the same response. Only such a claim can be confirmed by
	// another server, or suffice without a confirmation. sender is that server.
	senderClaimedEnd bool
	sender           ids.BackendID
	// refuted is set once a server has sent more after a claimed end.
	refuted bool
}

// Resume records that the receiver already has the beginning of the stream.
func (s *Stream) Resume() { s.hasEvents = true }

// BeginResponse records that a server's response begins.
func (s *Stream) BeginResponse(server ids.BackendID) { s.responseHasEvents, s.server = false, server }

// Receive records that the current response has brought events.
func (s *Stream) Receive() {
	s.refuted = s.refuted || s.endClaimed
	s.hasEvents, s.responseHasEvents = true, true
	s.endClaimed, s.senderClaimedEnd = false, false
}

// Refute records that an end claimed after the last event no longer counts: the current response has begun another event,
// or it has brought one that doesn't follow the last one, or another response within its body.
func (s *Stream) Refute() {
	s.refuted = s.refuted || s.endClaimed
	s.endClaimed, s.senderClaimedEnd = false, false
}

// End records the end of the current response. resumable is whether another server can be asked for the events after the
// last one.
func (s *Stream) End(end End, resumable bool) Verdict {
	switch end.(type) {
	case Whole:
		return Complete
	case Claimed:
		return s.CloseConnection(resumable)
	case BrokenOff:
	}
	return Broken
}

// CloseConnection records that the server of the current response has closed its connection in order, and that nothing
// else shows the end of the response. resumable is whether another server can be asked for the events after the last one.
func (s *Stream) CloseConnection(resumable bool) Verdict {
	switch {
	case !s.hasEvents:
		return Broken // a complete stream has events
	case s.responseHasEvents && !resumable:
		return Complete
	case s.responseHasEvents:
		s.endClaimed, s.senderClaimedEnd, s.sender = true, true, s.server
		return Unconfirmed
	case s.senderClaimedEnd && s.sender != s.server:
		return Agreed // two servers have nothing after the same event, and one of them sent it
	case s.senderClaimedEnd:
		return Unconfirmed // a server can't confirm its own claim
	}
	s.endClaimed = true
	return Broken
}

// MayEnd reports whether the stream may be ended as complete if no server can confirm its end.
func (s *Stream) MayEnd() bool { return s.senderClaimedEnd && !s.refuted }
