package rules

import "verbenaledge.example/verbena/ids"

// Kind is the kind of a service.
type Kind string

// The kinds of services.
const (
	// KindModel is a model, which callers name in requests under /v1/.
	KindModel Kind = "model"
	// KindPlain is any other HTTP service; callers name it in the path, under /services/.
	KindPlain Kind = "plain"
)

// Service declares a service that callers may address by name.
type Service struct {
	Name ids.ServiceName
	Kind Kind
	// Fenced is true if its backend servers refuse outdated fencing numbers.
	Fenced bool
	// Repeatable is true if every call may be retried, whatever its method.
	Repeatable bool
	AskedBy    string
}
