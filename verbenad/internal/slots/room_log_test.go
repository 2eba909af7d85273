package slots

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
)

// TestRoomLog guards against a line for each burst while room is short again and again, and against a shortage without an end.
func TestRoomLog(t *testing.T) {
	c := qt.New(t)
	handler := memory.New()
	former := log.Log
	log.Log = &log.Logger{Handler: handler, Level: log.InfoLevel}
	t.Cleanup(func() { log.Log = former })
	start := time.Unix(1000, 0)
	var l roomLog
	short := dispatch.Usage{RoomShort: true, BeyondShare: 1, MostUsing: "w", Slots: 4, Waiting: 9}
	for s := range 30 {
		u := dispatch.Usage{}
		if s < 12 && s%3 != 1 { // bursts, the last one at 11 s
			u = short
		}
		l.record(start.Add(time.Duration(s)*time.Second), "llm", u)
	}
	c.Assert(handler.Entries, qt.HasLen, 2)
	c.Assert(handler.Entries[0].Message, qt.Equals, "workspaces want more slots than there are")
	c.Assert(handler.Entries[0].Fields.Get("beyond_share"), qt.Equals, 1)
	c.Assert(handler.Entries[1].Fields.Get("lasted_ms"), qt.Equals, int64(11000))
	c.Assert(l.shortages, qt.HasLen, 0)
}
