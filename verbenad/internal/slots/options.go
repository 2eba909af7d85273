package slots

import (
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/dispatch"
)

// Option configures a Client or a Dispatcher.
type Option func(*options)

type options struct {
	drainNotices DrainNotices
	disabled     []dispatch.Mechanism
	saveCrashes  func([]crash.Report)
}

// WithCrashReportsSaved calls a function, which must not block, with the crash reports in force whenever they change.
func WithCrashReportsSaved(save func([]crash.Report)) Option {
	return func(o *options) { o.saveCrashes = save }
}

// WithDrainNotices keeps requests away from servers that announced that they stop soon, and exchanges the notices
// with other hosts.
func WithDrainNotices(notices DrainNotices) Option {
	return func(o *options) { o.drainNotices = notices }
}

// WithDisabledMechanisms disables scheduling mechanisms, for measurements.
func WithDisabledMechanisms(mechanisms []dispatch.Mechanism) Option {
	return func(o *options) { o.disabled = mechanisms }
}

func applyOptions(opts []Option) options {
	o := options{drainNotices: noDrainNotices{}, saveCrashes: func([]crash.Report) {}}
	for _, f := range opts {
		f(&o)
	}
	return o
}
