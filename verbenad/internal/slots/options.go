package slots

import (
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/dispatch"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/origin"
)

// Option configures a Client or a Dispatcher.
type Option func(*options)

type options struct {
	drainNotices DrainNotices
	disabled     []dispatch.Mechanism
	saveCrashes  func([]crash.Report)
	// For a Client: see WithKnowledgeReceived; for a Dispatcher: see WithStandby; for both: see WithListState.
	originsReceived func([]origin.Record, *origin.History)
	listState       func() directory.ListState
	standby         func() ids.HostID
	saveVersions    func(origin.History)
	limitsReceived  func([]dispatch.ServerLimit)
	isEvacuated     func(ids.ZoneID) bool
}

// WithKnowledgeReceived passes to the dispatcher of a storage host what the present dispatcher sends that host, which may
// be its successor.
func (d *Dispatcher) WithKnowledgeReceived() Option {
	return func(o *options) { o.originsReceived, o.limitsReceived = d.AddOrigins, d.AddLimits }
}

// WithListState sets a function that returns how current the list of servers is.
func WithListState(state func() directory.ListState) Option {
	return func(o *options) { o.listState = state }
}

// WithStandby sets a function that returns the dispatcher's standby, empty if there is none.
func WithStandby(standby func() ids.HostID) Option {
	return func(o *options) { o.standby = standby }
}

// WithVersionsSaved calls a function, which must not block, with the software versions seen whenever they change.
func WithVersionsSaved(save func(origin.History)) Option {
	return func(o *options) { o.saveVersions = save }
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

// WithEvacuations returns slots on servers of the availability zones for which isEvacuated returns true.
func WithEvacuations(isEvacuated func(ids.ZoneID) bool) Option {
	return func(o *options) { o.isEvacuated = isEvacuated }
}

// WithDisabledMechanisms disables scheduling mechanisms, for measurements.
func WithDisabledMechanisms(mechanisms []dispatch.Mechanism) Option {
	return func(o *options) { o.disabled = mechanisms }
}

func applyOptions(opts []Option) options {
	o := options{
		drainNotices: noDrainNotices{}, saveCrashes: func([]crash.Report) {}, originsReceived: func([]origin.Record, *origin.History) {},
		listState: func() directory.ListState { return directory.ListState{Age: -1} }, standby: func() ids.HostID { return "" },
		saveVersions: func(origin.History) {}, limitsReceived: func([]dispatch.ServerLimit) {}, isEvacuated: func(ids.ZoneID) bool { return false },
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}
