package upstream

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/clock"
)

// TestUnsafeRequestIsNotSent guards against requests that are smuggled inside another one, whoever calls the writer: a method,
// target or host that would end its line or the head isn't sent.
func TestUnsafeRequestIsNotSent(t *testing.T) {
	for _, r := range []Request{
		{Method: "POST", Target: "/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", Host: "h"},
		{Method: "POST", Target: "/a b", Host: "h"},
		{Method: "POST", Target: "/a\x00", Host: "h"},
		{Method: "POST", Target: "", Host: "h"},
		{Method: "POST\n", Target: "/a", Host: "h"},
		{Method: "POST", Target: "/a", Host: "h\r\nX-A: 1"},
	} {
		_, err := NewClient(clock.System{}).Send(t.Context(), nil, r)
		var failed *Error
		qt.Assert(t, errors.As(err, &failed), qt.IsTrue)
		qt.Assert(t, failed.Execution, qt.Equals, NotSent)
		qt.Assert(t, errors.Is(err, ErrUnsafeRequest), qt.IsTrue, qt.Commentf("%q", r.Target))
	}
}
