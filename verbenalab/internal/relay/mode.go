package relay

// Mode says which bytes a relay drops.
type Mode int32

// The modes.
const (
	// Forward drops nothing.
	Forward Mode = iota
	// DropAll drops everything and keeps connections open, as if the network lost all packets.
	DropAll
	// DropToTarget drops what is sent to the target.
	DropToTarget
	// DropFromTarget drops what the target sends.
	DropFromTarget
)

// drops reports whether the bytes of a direction are dropped.
func (m Mode) drops(toTarget bool) bool {
	switch m {
	case DropAll:
		return true
	case DropToTarget:
		return toTarget
	case DropFromTarget:
		return !toTarget
	case Forward:
	}
	return false
}
