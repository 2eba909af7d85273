package hostlink

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAnnouncedFrameTakesNoMemory guards against a frame that takes the whole length that it announces before it arrives.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const frames = 100
	for range frames {
		prefix := make([]byte, 4, 5)
		binary.BigEndian.PutUint32(prefix, maxFrameSize)
		_, err := decode(bytes.NewReader(append(prefix, 'x')))
		c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	}
	runtime.ReadMemStats(&after)
	c.Assert(after.TotalAlloc-before.TotalAlloc < frames*4*arrivingBytes, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
}

// TestNewcomersMakeRoom guards against strangers that keep connections, or memory for frames, from hosts.
func TestNewcomersMakeRoom(t *testing.T) {
	c := qt.New(t)
	var s newcomers
	dial := func() (*newcomer, net.Conn) {
		stranger, host := net.Pipe()
		c.Cleanup(func() { _, _ = stranger.Close(), host.Close() })
		return s.add(host), stranger
	}
	first, far := dial()
	second, _ := dial()
	for range maxNewcomers - 1 {
		dial()
	}
	_, err := far.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF, qt.Commentf("the oldest one is closed"))
	c.Assert(first.reserve(1), qt.Equals, errNewcomerClosed)
	c.Assert(second.reserve(maxFrameSize), qt.IsNil)
	third, _ := dial()
	c.Assert(third.reserve(maxFrameSize), qt.Equals, nil)
	fourth, _ := dial()
	c.Assert(fourth.reserve(maxFrameSize), qt.IsNil)
	c.Assert(second.reserve(1), qt.Equals, errNewcomerClosed)
	c.Assert(s.bytes <= maxNewcomerBytes, qt.IsTrue)
	third.arrived()
	fourth.arrived()
	c.Assert(s.bytes, qt.Equals, 0)
}
