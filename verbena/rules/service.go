package rules

import "verbenaledge.example/verbena/ids"

// Kind tells a model from a plain service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service declares a name that callers may address.
type Service struct {
	Name ids.ServiceName
	Kind Kind
	// Fenced is true when its backend servers refuse old fencing numbers.
	Fenced bool
	// Repeatable is true when every call may be sent again, whatever its method.
	Repeatable bool
	AskedBy    string
}
