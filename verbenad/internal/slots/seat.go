package slots

// Seat says who decides on an ask.
type Placer int

// The seats, in the order in which they are used.
const (
	// Dispatcher is the host that places requests for all others.
	PlacerDispatcher Placer = iota
	// Standby is the host that does so for those that can't reach the dispatcher.
	PlacerStandby
	// Local is this host, by its own counts.
	PlacerLocal
)

// String names the seat for logs and metrics.
func (s Placer) String() string {
	switch s {
	case PlacerDispatcher:
		return "dispatcher"
	case PlacerStandby:
		return "standby"
	case PlacerLocal:
		return "host"
	}
	return "unknown"
}
