package slots

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbenad/internal/hostlink"
)

// channel is the way to a host that may decide on asks.
type channel struct {
	seat Placer
	// address tells where the host is; empty means unknown.
	address func() string
	// pingEvery is the time between signs of life, silence how long the host may be silent.
	pingEvery, silence time.Duration
	asks, losses       *metrics.Counter

	link        *hostlink.Link
	lastContact time.Time
	// silent is set when an ask brought no word; it holds until the next contact.
	silent bool
	// reportedAt is when the host got the last report of what others admitted.
	reportedAt time.Time
	// joined tells that the host knows what this one holds.
	joined bool
}

func newChannel(s Placer, address func() string, pingEvery time.Duration) *channel {
	return &channel{
		seat: s, address: address, pingEvery: pingEvery, silence: silentPings * pingEvery,
		asks:   metrics.GetOrCreateCounter("verbenad_slot_asks_total{by=\"" + s.String() + "\"}"),
		losses: metrics.GetOrCreateCounter("verbenad_dispatcher_losses_total{seat=\"" + s.String() + "\"}"),
	}
}

// usable tells whether an ask is likely to be answered.
func (c *channel) usable() bool { return c.link != nil && !c.silent }

// send queues a message. A link that doesn't take it is closed; its reader then does what follows from that.
func (c *channel) send(f hostlink.Frame) {
	if c.link != nil && c.link.Send(f) != nil {
		c.link.Close()
	}
}
