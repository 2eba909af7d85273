package logs

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// heldOutput takes nothing until it is released.
type heldOutput struct{ released chan struct{} }

func (o heldOutput) Write(p []byte) (int, error) {
	<-o.released
	return len(p), nil
}

// TestLongLinesDontFillMemory guards against lines with long ids of callers that wait for a slow reader of the output: 2,048 lines
// of 16 KB are 32 MB.
func TestLongLinesDontFillMemory(t *testing.T) {
	c := qt.New(t)
	out := heldOutput{make(chan struct{})}
	w := NewWriter(out)
	line := bytes.Repeat([]byte{'i'}, 16<<10)
	for range maxQueuedLines {
		w.count.Store(0) // the limit of lines in a second isn't tested here
		_, err := w.Write(line)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(len(w.lines)*len(line) <= 2<<20, qt.IsTrue, qt.Commentf("%d lines", len(w.lines)))
	c.Assert(w.dropped.Load() > 0, qt.IsTrue)
	close(out.released)
	w.Close()
	c.Assert(w.queued.Load(), qt.Equals, int64(0))
}
