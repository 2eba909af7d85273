package upstream

import (
	"bytes"
	"errors"
	"io"

	"verbenaledge.example/verbena/completion"
)

// maxEventBytes limits one event of a stream. Each stream may take up this much memory.
const maxEventBytes = 64 << 10

// ErrEventTooLong is returned for an event that exceeds the limit.
var ErrEventTooLong = errors.New("stream event exceeds the limit")

// EventReader splits a stream into complete events.
type EventReader struct {
	source completion.Body
	buffer []byte
	start  int
	// end is that of the source, nil until it has ended.
	end completion.End
}

// NewEventReader returns a reader of a stream's events.
func NewEventReader(b completion.Body) *EventReader {
	return &EventReader{source: b, buffer: make([]byte, 0, 1024)}
}

// Next returns the complete events that have arrived, at least one, with their closing blank lines, or the end of the
// stream. A stream that ends within an event has been broken off. The bytes are valid until the next call.
func (e *EventReader) Next() (events []byte, end completion.End) {
	for {
		if length := lastBlankLine(e.buffer[e.start:]); length > 0 {
			events = e.buffer[e.start : e.start+length]
			e.start += length
			return events, nil
		}
		if e.end == nil {
			e.fill()
			continue
		}
		switch e.end.(type) {
		case completion.Whole, completion.Claimed:
			if len(e.buffer) > e.start {
				return nil, completion.BrokenOff{Err: io.ErrUnexpectedEOF}
			}
		case completion.BrokenOff:
		}
		return nil, e.end
	}
}

// HoldsPartialEvent reports whether the unread rest of the stream is a part of an event, not only of a comment.
func (e *EventReader) HoldsPartialEvent() bool {
	for l := range bytes.SplitSeq(e.buffer[e.start:], []byte("\n")) {
		if l = bytes.TrimSuffix(l, []byte("\r")); len(l) > 0 && l[0] != ':' {
			return true
		}
	}
	return false
}

// fill reads more bytes, or the end of the source.
func (e *EventReader) fill() {
	if e.start > 0 {
		e.buffer = e.buffer[:copy(e.buffer, e.buffer[e.start:])]
		e.start = 0
	}
	if len(e.buffer) >= maxEventBytes {
		e.end = completion.BrokenOff{Err: ErrEventTooLong}
		return
	}
	if cap(e.buffer)-len(e.buffer) < 512 {
		grown := make([]byte, len(e.buffer), 2*cap(e.buffer)+512)
		copy(grown, e.buffer)
		e.buffer = grown
	}
	n, end := e.source.ReadBody(e.buffer[len(e.buffer):cap(e.buffer)])
	e.buffer, e.end = e.buffer[:len(e.buffer)+n], end
}

// lastBlankLine returns the length of the bytes up to the end of the last blank line, 0 if there is none.
func lastBlankLine(b []byte) int {
	end := bytes.LastIndex(b, []byte("\n\n"))
	if end >= 0 {
		end += 2
	}
	if crlf := bytes.LastIndex(b, []byte("\n\r\n")); crlf >= 0 && crlf+3 > end {
		end = crlf + 3
	}
	return max(end, 0)
}

// Event is one event of a stream.
type Event struct {
	ID   string
	Data []byte
}

// ParseEvents splits complete events into their fields. It skips comments and other fields.
func ParseEvents(events []byte) (list []Event) {
	var e Event
	seen, hasData := false, false
	for l := range bytes.SplitSeq(events, []byte("\n")) {
		l = bytes.TrimSuffix(l, []byte("\r"))
		if len(l) == 0 {
			if seen {
				list = append(list, e)
			}
			e, seen, hasData = Event{}, false, false
			continue
		}
		name, value, _ := bytes.Cut(l, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID, seen = string(value), true
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			e.Data, seen, hasData = append(e.Data, value...), true, true
		}
	}
	return list
}

// HasEvent reports whether there is an event among lines that may all be comments.
func HasEvent(events []byte) bool {
	for l := range bytes.SplitSeq(events, []byte("\n")) {
		if bytes.HasPrefix(l, []byte("id:")) || bytes.HasPrefix(l, []byte("data:")) {
			return true
		}
	}
	return false
}

// LastID returns the id of the last event that has one, and the number of such events.
func LastID(events []byte) (id string, count int) {
	for l := range bytes.SplitSeq(events, []byte("\n")) {
		if bytes.HasPrefix(l, []byte("id:")) {
			id = string(bytes.TrimSpace(l[3:]))
			count++
		}
	}
	return id, count
}

// FirstID returns the id of the first event that has one.
func FirstID(events []byte) string {
	for l := range bytes.SplitSeq(events, []byte("\n")) {
		if bytes.HasPrefix(l, []byte("id:")) {
			return string(bytes.TrimSpace(l[3:]))
		}
	}
	return ""
}
