package main

import (
	"fmt"
	"net/http"
	"time"

	"verbenaledge.example/platform/standin"
)

const (
	configTime = 2 * time.Second // configMs
	settleTime = time.Second     // settleMs
)

// routeRemoved has a batch job completed and read, and then has the operator remove the job's route. The results are read again, and have
// to come again: a result keeps its position at all daemons until statusS after the submission.
func routeRemoved(record string, trouble bool) (breaks []string, err error) {
	w, err := newWorld(record, options{
		fronts: 3, storage: 3, servers: 3, frontMB: 284, storageMB: 324, slots: 8, events: 20,
		config: configuration(7, streamRoute(), plainRoute(1500), batchRoute()),
	})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	id := newID()
	body, err := submission(id, 10, 300)
	if err != nil {
		return nil, err
	}
	if a := w.submit(w.fronts[0], id, body); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("job not accepted: %d %v", a.status, a.err)
	}
	for _, f := range w.fronts {
		if _, _, err := w.readAll(f, id, 15*time.Second); err != nil {
			return nil, err
		}
	}
	next := configuration(12, streamRoute(), plainRoute(1400), batchRoute())
	if trouble {
		next = configuration(12, streamRoute(), plainRoute(1500))
	}
	if err := standin.Configure(w.store, next); err != nil {
		return nil, err
	}
	w.note("configuration 12 acknowledged, with the batch route: %t", !trouble)
	time.Sleep(configTime + settleTime)
	notFound := 0
	for range 10 {
		for _, f := range w.fronts {
			a := w.read(f, id, 0)
			l, _ := parseListing(a.body)
			w.note("job %s read at %s: %d %v, %d of %d results", id, f.settings.name, a.status, a.err, len(l.Results), l.Total)
			if a.status == http.StatusNotFound || a.status == http.StatusGone {
				notFound++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	if err := standin.Configure(w.store, configuration(15, streamRoute(), plainRoute(1500), batchRoute())); err != nil {
		return nil, err
	}
	time.Sleep(configTime)
	a := w.read(w.fronts[0], id, 0)
	l, _ := parseListing(a.body)
	w.note("once configuration 15 has the batch route: %d %v, %d of %d results", a.status, a.err, len(l.Results), l.Total)
	if notFound > 0 {
		breaks = append(breaks, fmt.Sprintf("LOST: %d of 30 reads of a job whose results had been read were answered 404", notFound))
	}
	return breaks, nil
}
