package bulk

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbenad/internal/cutserver"
	"verbenaledge.example/verbenad/internal/slots"
)

// TestItemAnswers plays answers byte for byte, after some events of an item or before the first one. One that can't be trusted
// neither completes nor ends the item, which another server then completes; one that is odd but valid is taken.
func TestItemAnswers(t *testing.T) {
	cases, err := cutserver.Cases()
	qt.Assert(t, err, qt.IsNil)
	server, err := cutserver.Start()
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, server.Close(), qt.IsNil) }()
	header := []string{"X-Of: the-item"}
	for _, tc := range cases {
		for _, begun := range []int{0, 2} {
			var body strings.Builder
			for n := begun + 1; n <= itemEvents; n++ {
				fmt.Fprintf(&body, "id: %d\ndata: %d of 1\n\n", n, n)
			}
			if tc.Sound() && !strings.HasSuffix(tc.Want(header, body.String()), "\r\n\r\n"+body.String()) {
				continue // no stream
			}
			t.Run(fmt.Sprint(tc.Name, " after ", begun), func(t *testing.T) {
				i := newItemRun(t)
				i.item.Body = make([]byte, tc.UploadBytes)
				first := newVersionServer(t, "first", "llm", "1")
				if begun > 0 {
					first.cut = true
					qt.Assert(t, i.sendTo(t, first.slot()), qt.Equals, itemRetry)
				}
				server.SetAnswers(tc.Answer(header, "X-Not: run", body.String()))
				second := directory.Server{ID: "second", Service: "llm", SoftwareVersion: "1", Incarnation: 1, Address: server.Address()}
				result := i.sendTo(t, &slots.Slot{Server: second, Yielded: make(chan struct{})})
				if status := tc.Want(header, ""); strings.HasPrefix(status, "HTTP/1.1 200") {
					qt.Assert(t, result == itemComplete || result == itemUnconfirmed, qt.IsTrue, qt.Commentf("%d", result))
					qt.Assert(t, string(i.output), qt.Equals, wholeOutput("1"))
					return
				}
				qt.Assert(t, result, qt.Equals, itemRetry)
				third := newVersionServer(t, "third", "llm", "1")
				qt.Assert(t, i.sendTo(t, third.slot()), qt.Equals, itemComplete)
				qt.Assert(t, string(i.output), qt.Equals, wholeOutput("1"))
			})
		}
	}
}
