package slots

// Placer is who decides on a slot request.
type Placer int

// The placers, in order of preference.
const (
	// PlacerDispatcher is the host that decides for all others.
	PlacerDispatcher Placer = iota
	// PlacerStandby is the host that decides for those that can't reach the dispatcher.
	PlacerStandby
	// PlacerLocal is this host's local scheduler.
	PlacerLocal
)

// String names the placer for logs and metrics.
func (p Placer) String() string {
	switch p {
	case PlacerDispatcher:
		return "dispatcher"
	case PlacerStandby:
		return "standby"
	case PlacerLocal:
		return "host"
	}
	return "unknown"
}
