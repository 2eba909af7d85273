// Package limit decides how many requests a backend server gets that names a limit in its answers.
package limit

// RequestsPerSecond is a number of requests per second, from all hosts together.
type RequestsPerSecond float64

// MaxPerSecond bounds the limits that are read. A higher one doesn't restrict any server.
const MaxPerSecond RequestsPerSecond = 1e6

// Kind is what an answer says of a limit.
type Kind int

// The kinds.
const (
	// Unstated: the answer names no limit.
	Unstated Kind = iota
	// Named: the answer names a limit.
	Named
	// Unreadable: the answer names a limit that can't be read. It neither sets nor ends one.
	Unreadable
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Unstated:
		return "none"
	case Named:
		return "named"
	case Unreadable:
		return "unreadable"
	}
	return "unknown"
}

// Statement is what one answer says of the server's limit.
type Statement struct {
	Kind Kind `cbor:"1,keyasint"`
	// PerSecond is valid for Named. It is between 0 and MaxPerSecond.
	PerSecond RequestsPerSecond `cbor:"2,keyasint,omitempty"`
}
