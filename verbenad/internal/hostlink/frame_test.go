package hostlink

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/bulk"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/objects"
)

// TestFrameRoundTrip checks that frames decode to what was encoded, with fractions of seconds, and that a list of
// servers is compressed.
func TestFrameRoundTrip(t *testing.T) {
	big := Update{Kind: "k", Revision: 7, Full: true}
	for n := range 2000 {
		big.Objects = append(big.Objects, objects.Object{Name: fmt.Sprintf("server-%d", n), Revision: 3, Spec: []byte(`{"address":"10.0.0.1:80"}`)})
	}
	for _, f := range []Frame{
		{Ping: true}, {SlotRequest: &dispatch.SlotRequest{Ticket: 9, Service: "llm"}}, {ForwardTo: "10.0.0.1:80"}, {Update: &big},
	} {
		raw, err := Encode(f)
		qt.Assert(t, err, qt.IsNil)
		got, err := decode(bytes.NewReader(raw))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, f)
	}
	due := time.Unix(1000, 123456789)
	raw, err := Encode(Frame{Jobs: &JobsCall{Call: bulk.Call{New: &bulk.Job{Due: due}}}})
	qt.Assert(t, err, qt.IsNil)
	got, err := decode(bytes.NewReader(raw))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Jobs.Call.New.Due.Equal(due), qt.IsTrue, qt.Commentf("%s", got.Jobs.Call.New.Due))
	raw, err = Encode(Frame{Update: &big})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(raw) < 40_000, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
}

// FuzzDecode decodes arbitrary bytes of a peer, starting from lengths over the limit and broken compressed frames. No
// input may cause a panic, or be decoded beyond maxFrameSize.
func FuzzDecode(f *testing.F) {
	raw, err := Encode(Frame{Ping: true})
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0x80, 0, 0, 3, 1, 2, 3})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = decode(bytes.NewReader(raw))
	})
}
