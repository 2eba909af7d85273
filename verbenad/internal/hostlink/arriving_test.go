package hostlink

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestGrowthOfFrameIsReserved guards against memory that is used and not reserved: the free part of a buffer that has doubled, and the
// former buffer while it is copied.
func TestGrowthOfFrameIsReserved(t *testing.T) {
	for _, size := range []int{0, 1, arrivingBytes, arrivingBytes + 1, 1<<20 + 1, maxFrameSize} {
		c := qt.New(t)
		held, most := 0, 0
		reserve := func(bytes int) error {
			held += bytes
			most = max(most, held)
			return nil
		}
		sent := bytes.Repeat([]byte("frame"), size/5+1)[:size]
		got, err := readAsArrives(iotest.DataErrReader(bytes.NewReader(sent)), size, reserve)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got, sent), qt.IsTrue)
		c.Check(held, qt.Equals, cap(got), qt.Commentf("%d bytes", size))
		if size > 2*arrivingBytes {
			c.Check(most >= size+size/2, qt.IsTrue, qt.Commentf("%d bytes, %d reserved at most", size, most))
		}
		c.Check(most <= maxNewcomerBytes, qt.IsTrue)
		got, err = readAsArrives(bytes.NewReader(sent), size+1, reserve)
		c.Check(err, qt.Equals, io.EOF)
		c.Check(got, qt.HasLen, size)
	}
}

// TestLargestFirstFrameFits guards against a bound that closes the connection of a host whose first frame is large.
func TestLargestFirstFrameFits(t *testing.T) {
	c := qt.New(t)
	var s newcomers
	stranger, host := net.Pipe()
	defer func() { _, _ = stranger.Close(), host.Close() }()
	n := s.add(host)
	const half = maxFrameSize / 2
	_, err := readAsArrives(bytes.NewReader(make([]byte, half)), half, n.reserve)
	c.Assert(err, qt.IsNil)
	_, err = readAsArrives(bytes.NewReader(make([]byte, maxFrameSize)), maxFrameSize+1, n.reserve)
	c.Assert(err, qt.Equals, io.EOF)
	n.arrived()
	c.Assert(s.bytes, qt.Equals, 0)
}
