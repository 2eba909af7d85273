package bulk

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/exchange"
)

// pacedProtocol reads the same pace of its machine in each response of a server.
type pacedProtocol struct{ plainProtocol }

func (pacedProtocol) ParseResponse(int, http.Header) exchange.ResponseInfo {
	return exchange.ResponseInfo{Signed: true, Load: exchange.Load{Known: true, Pace: 170}}
}

// TestItemReportsPace guards against placement that doesn't learn how busy machines are from the answers to batch items, or takes
// what the head of a long answer said for what holds at its end.
func TestItemReportsPace(t *testing.T) {
	c := qt.New(t)
	i := newItemRun(t)
	i.owner.protocol = pacedProtocol{}
	released := make(chan dispatch.Outcome, 1)
	i.owner.slots = &scriptedSlots{SlotSource: i.owner.slots, released: released}
	start := time.Now()
	c.Assert(i.sendTo(t, newVersionServer(t, "first", "llm", "1").slot()), qt.Equals, itemComplete)
	o := <-released
	c.Assert(o.Pace, qt.Equals, 170)
	c.Assert(o.PaceAge > 0 && o.PaceAge <= time.Since(start), qt.IsTrue, qt.Commentf("%v", o.PaceAge))
}
