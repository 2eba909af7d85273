package relay

// Mode is what a relay does to the bytes that pass through it.
type Mode int32

// The modes.
const (
	// Open passes everything on.
	Open Mode = iota
	// Silent passes nothing; connections stay open, as when packets are lost.
	Silent
	// SilentForth loses what goes to the target, SilentBack what comes from it.
	SilentForth
	SilentBack
)

// loses tells whether bytes of a direction are lost.
func (m Mode) loses(forth bool) bool {
	switch m {
	case Silent:
		return true
	case SilentForth:
		return forth
	case SilentBack:
		return !forth
	case Open:
	}
	return false
}
