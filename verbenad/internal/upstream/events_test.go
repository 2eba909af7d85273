package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/completion"
)

// wholeBody is a body that is whole when its source ends with io.EOF.
type wholeBody struct{ io.Reader }

func (w wholeBody) ReadBody(p []byte) (n int, end completion.End) {
	n, err := w.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, completion.Whole{}
	}
	return n, completion.BrokenOff{Err: err}
}

func readAllEvents(r io.Reader) (text string, end completion.End) {
	e := NewEventReader(wholeBody{r})
	var b bytes.Buffer
	for {
		events, end := e.Next()
		b.Write(events)
		if end != nil {
			return b.String(), end
		}
	}
}

func TestCompleteEvents(t *testing.T) {
	text, end := readAllEvents(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	qt.Assert(t, end, qt.Equals, completion.Whole{})
	qt.Assert(t, text, qt.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

func TestIncompleteEvent(t *testing.T) {
	text, end := readAllEvents(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	qt.Assert(t, end, qt.Equals, completion.BrokenOff{Err: io.ErrUnexpectedEOF})
	qt.Assert(t, text, qt.Equals, "id: 1\ndata: a\n\n")
}

// TestHoldsPartialEvent guards against a part of an event that goes unnoticed, however the stream ended.
func TestHoldsPartialEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "id: 1\n\n": false, "id: 1\n\n\n": false, "id: 1\n\n: comm": false, "id: 1\n\n: comment\r\n": false,
		"id: 1\n\ni": true, "id: 1\n\n: comment\nid: 2\ndata: b\n": true, "x-version: 7\n": true,
	} {
		for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe} {
			e := NewEventReader(wholeBody{io.MultiReader(strings.NewReader(text), iotest.ErrReader(end))})
			var ended completion.End
			for ended == nil {
				_, ended = e.Next()
			}
			qt.Check(t, e.HoldsPartialEvent(), qt.Equals, want, qt.Commentf("%q, %v", text, end))
		}
	}
}

func TestEndlessEvent(t *testing.T) {
	_, end := readAllEvents(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1)))
	qt.Assert(t, end, qt.Equals, completion.BrokenOff{Err: ErrEventTooLong})
}

func TestParseEvents(t *testing.T) {
	list := ParseEvents([]byte("x-version: 7\nid: 4\ndata: a\ndata: b\n\n: note\n\nid: 5\r\ndata:c\r\n\r\n"))
	qt.Assert(t, list, qt.DeepEquals, []Event{{ID: "4", Data: []byte("a\nb")}, {ID: "5", Data: []byte("c")}})
	id, n := LastID([]byte("id: 4\ndata: a\n\nid: 5\ndata: b\n\n"))
	qt.Assert(t, id, qt.Equals, "5")
	qt.Assert(t, n, qt.Equals, 2)
	qt.Assert(t, FirstID([]byte("id: 4\ndata: a\n\nid: 5\n\n")), qt.Equals, "4")
}

// TestEventDataIsWhole guards against texts of batch items that lack line feeds: empty data lines count, also before the
// first other one. Each testdata/events/NAME.stream has its events in NAME.want: an id and the quoted data.
func TestEventDataIsWhole(t *testing.T) {
	files, err := filepath.Glob("testdata/events/*.stream")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, f := range files {
		name := strings.TrimSuffix(f, ".stream")
		t.Run(filepath.Base(name), func(t *testing.T) {
			stream, err := os.ReadFile(f)
			qt.Assert(t, err, qt.IsNil)
			want, err := os.ReadFile(name + ".want")
			qt.Assert(t, err, qt.IsNil)
			var got strings.Builder
			for _, e := range ParseEvents(stream) {
				fmt.Fprintf(&got, "%s %q\n", e.ID, e.Data)
			}
			qt.Assert(t, got.String(), qt.Equals, string(want))
		})
	}
}

// FuzzEvents checks that exactly the complete events are returned, also if the bytes arrive one by one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		text, end := readAllEvents(iotest.OneByteReader(bytes.NewReader(raw)))
		if !bytes.HasPrefix(raw, []byte(text)) {
			t.Fatalf("%q is not a prefix of %q", text, raw)
		}
		rest := raw[len(text):]
		if end == (completion.Whole{}) && len(rest) > 0 {
			t.Fatalf("%q was lost from a stream that ended properly", rest)
		}
		if lastBlankLine(rest) > 0 {
			t.Fatalf("%q holds complete events that were not returned", rest)
		}
		_ = ParseEvents([]byte(text))
	})
}
