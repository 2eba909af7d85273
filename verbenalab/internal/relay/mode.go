package relay

// Mode is what a relay does to the bytes that pass through it.
type Mode int32

// The modes.
const (
	// Open passes everything on.
	Forward Mode = iota
	// Silent passes nothing; connections stay open, as when packets are lost.
	DropAll
	// SilentForth loses what goes to the target, SilentBack what comes from it.
	DropToTarget
	DropFromTarget
)

// loses tells whether bytes of a direction are lost.
func (m Mode) loses(forth bool) bool {
	switch m {
	case DropAll:
		return true
	case DropToTarget:
		return forth
	case DropFromTarget:
		return !forth
	case Forward:
	}
	return false
}
