package callerconn

// End tells how a connection ended, as far as this host has noticed.
type End int

// The ends of a connection. The first one noticed counts.
const (
	// Open means that no end was noticed.
	Open End = iota
	// EndedByCaller means that the caller closed the connection, or its own direction of it.
	EndedByCaller
	// Broken means that the connection was reset or failed.
	Broken
	// ClosedByHost means that this host closed the connection.
	ClosedByHost
)

// String returns the name for log lines.
func (e End) String() string {
	switch e {
	case Open:
		return "open"
	case EndedByCaller:
		return "ended_by_caller"
	case Broken:
		return "broken"
	case ClosedByHost:
		return "closed_by_host"
	}
	return "unknown"
}
