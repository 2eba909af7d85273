package host

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/objects"
)

// kindCrashReports is the kind of the stored reports, which are one object.
const kindCrashReports objects.Kind = "verbena-crashes"

const nameCrashReports = "reports"

// storedCrashReports keeps the crash reports that block requests in the store, so that they outlive the loss of all hosts
// at once. Hosts exchange them without the store at all other times.
type storedCrashReports struct {
	object *storedObject[crashReportsObject]
	clock  clock.Clock
	saved  crashReportsObject
}

// crashReportsObject is the stored form of the reports.
type crashReportsObject struct {
	// At is when the ages of the reports were taken.
	At      time.Time      `json:"at"`
	Reports []crash.Report `json:"reports"`
}

func newStoredCrashReports(store objects.Client, c clock.Clock) *storedCrashReports {
	return &storedCrashReports{object: newStoredObject[crashReportsObject](store, kindCrashReports, nameCrashReports), clock: c}
}

// save queues the reports that block requests for the next write.
func (s *storedCrashReports) save(all []crash.Report) {
	s.object.save(crashReportsObject{At: s.clock.Now(), Reports: crash.Blocking(all)})
}

// run loads the stored reports, passes them on, and then writes those that are saved, until the context ends.
func (s *storedCrashReports) run(ctx context.Context, loaded func([]crash.Report)) {
	s.object.run(ctx, func(ctx context.Context) bool { return s.load(ctx, loaded) }, s.write)
}

// load reports whether the reports needn't be read again.
func (s *storedCrashReports) load(ctx context.Context, loaded func([]crash.Report)) bool {
	stored, err := s.object.read(ctx)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		return true
	case errors.Is(err, errUnreadable):
		log.WithError(err).Error("cannot decode the stored crash reports, ignoring them")
		return true
	case err != nil:
		log.WithError(err).Warn("crash reports not read yet")
		return false
	}
	s.saved = stored
	list := slices.Clone(stored.Reports)
	for i := range list {
		list[i].Age += max(0, s.clock.Now().Sub(stored.At))
	}
	if len(list) > 0 {
		log.WithField("reports", len(list)).Info("stored crash reports loaded")
		loaded(list)
	}
	return true
}

// write writes the reports unless the same ones are stored. It reports whether they needn't be written again.
func (s *storedCrashReports) write(ctx context.Context, o crashReportsObject) bool {
	if sameReports(o.Reports, s.saved.Reports) {
		return true
	}
	if err := s.object.replace(ctx, o); err != nil {
		log.WithError(err).Warn("crash reports not written yet")
		return false
	}
	s.saved = o
	log.WithField("reports", len(o.Reports)).Info("crash reports written")
	return true
}

// sameReports reports whether two lists have the same reports, whatever their ages.
func sameReports(a, b []crash.Report) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Age, y.Age = 0, 0
		if !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}
