package slots

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"verbenaledge.example/verbenad/internal/hostlink"
)

// placerConn is this host's connection to a host that may decide on its slot requests.
type placerConn struct {
	placer Placer
	// address returns where the host is reached, or "" while that isn't known.
	address func() string
	// pingInterval is the time between pings, maxSilence how long the host may send nothing before it is disconnected.
	pingInterval, maxSilence time.Duration
	requests, losses         *metrics.Counter

	link *hostlink.Link
	// linkAddress is the address to which link was made, also after its end.
	linkAddress string
	lastContact time.Time
	// silent is set when a slot request got no reply in time, and cleared by the next frame from the host. Until then
	// requests go to the next placer at once.
	silent bool
	// reportedAt is when the host was last sent how many requests other placers admitted.
	reportedAt time.Time
	// registered is set while the host knows which slots this one holds.
	registered bool
}

func newPlacerConn(placer Placer, address func() string, interval time.Duration) *placerConn {
	return &placerConn{
		placer: placer, address: address, pingInterval: interval, maxSilence: maxSilentPings * interval,
		requests: metrics.GetOrCreateCounter("verbenad_slot_asks_total{by=\"" + placer.String() + "\"}"),
		losses:   metrics.GetOrCreateCounter("verbenad_dispatcher_losses_total{seat=\"" + placer.String() + "\"}"),
	}
}

// usable reports whether a slot request is likely to be answered.
func (c *placerConn) usable() bool { return c.link != nil && !c.silent }

// send queues a frame. A link that doesn't take it is closed; its reader then handles the disconnect.
func (c *placerConn) send(f hostlink.Frame) {
	if c.link != nil && c.link.Send(f) != nil {
		c.link.Close()
	}
}
