package slots

import "verbenaledge.example/verbena/dispatch"

// Option changes a client or a server of slots.
type Option func(*options)

type options struct {
	drains  DrainNotices
	without []dispatch.Mechanism
}

// WithDrains keeps requests from servers that said that they stop soon, and exchanges what hosts know of them.
func WithDrainNotices(d DrainNotices) Option {
	return func(o *options) { o.drains = d }
}

// Without switches parts of the decisions off, for measurements.
func WithoutMechanisms(list []dispatch.Mechanism) Option {
	return func(o *options) { o.without = list }
}

func apply(list []Option) options {
	o := options{drains: noDrains{}}
	for _, f := range list {
		f(&o)
	}
	return o
}
