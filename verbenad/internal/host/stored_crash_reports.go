package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/crash"
	"verbenaledge.example/verbena/objects"
)

// kindCrashReports is the kind of the stored reports, which are one object.
const kindCrashReports objects.Kind = "verbena-crashes"

const (
	nameCrashReports = "reports"
	// crashReportsSaveInterval is the minimum time between two writes of the reports.
	crashReportsSaveInterval = time.Second
	// crashReportsRetryPause is the pause after a failed call of the store.
	crashReportsRetryPause = 300 * time.Millisecond
)

// storedCrashReports keeps the crash reports that block requests in the store, so that they outlive the loss of all hosts
// at once. Hosts exchange them without the store at all other times.
type storedCrashReports struct {
	store objects.Client
	clock clock.Clock
	// pending holds the reports to save, the newest ones only.
	pending chan []crash.Report
	saved   crashReportsObject
}

// crashReportsObject is the stored form of the reports.
type crashReportsObject struct {
	// At is when the ages of the reports were taken.
	At      time.Time      `json:"at"`
	Reports []crash.Report `json:"reports"`
}

func newStoredCrashReports(store objects.Client, c clock.Clock) *storedCrashReports {
	return &storedCrashReports{store: store, clock: c, pending: make(chan []crash.Report, 1)}
}

// save queues the reports that block requests for the next write.
func (s *storedCrashReports) save(all []crash.Report) {
	list := crash.Blocking(all)
	for {
		select {
		case s.pending <- list:
			return
		default:
		}
		select {
		case <-s.pending: // outdated
		default:
		}
	}
}

// run loads the stored reports, passes them on, and then writes those that are saved, until the context ends.
func (s *storedCrashReports) run(ctx context.Context, loaded func([]crash.Report)) {
	for ctx.Err() == nil {
		list, err := s.load(ctx)
		if err == nil {
			if len(list) > 0 {
				log.WithField("reports", len(list)).Info("stored crash reports loaded")
				loaded(list)
			}
			break
		}
		log.WithError(err).Warn("crash reports not read yet")
		clock.Sleep(ctx, crashReportsRetryPause)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-s.pending:
			s.write(ctx, list)
		}
		clock.Sleep(ctx, crashReportsSaveInterval)
	}
}

func (s *storedCrashReports) load(ctx context.Context) (list []crash.Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load crash reports: %w", err)
		}
	}()
	o, err := s.store.Get(ctx, kindCrashReports, nameCrashReports)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var stored crashReportsObject
	if err := json.Unmarshal(o.Spec, &stored); err != nil {
		log.WithError(err).Error("cannot decode the stored crash reports, ignoring them")
		return nil, nil
	}
	s.saved = stored
	for i := range stored.Reports {
		stored.Reports[i].Age += max(0, s.clock.Now().Sub(stored.At))
	}
	return stored.Reports, nil
}

// write writes the reports unless the same ones are stored. Newer reports replace those of a failed write.
func (s *storedCrashReports) write(ctx context.Context, list []crash.Report) {
	if sameReports(list, s.saved.Reports) {
		return
	}
	object := crashReportsObject{At: s.clock.Now(), Reports: list}
	_, err := s.store.Replace(ctx, kindCrashReports, nameCrashReports, 0, object)
	if errors.Is(err, objects.ErrNotFound) {
		_, err = s.store.Create(ctx, kindCrashReports, nameCrashReports, object)
	}
	if err != nil {
		log.WithError(err).Warn("crash reports not written yet")
		select {
		case s.pending <- list:
		default: // newer ones wait
		}
		return
	}
	s.saved = object
	log.WithField("reports", len(list)).Info("crash reports written")
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
