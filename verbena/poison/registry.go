// Package poison decides when a request that crashes backend servers is given up on.
package poison

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// MaxBackends is the most backend servers that one request may take down.
const MaxCrashedBackends = 2

const (
	memory     = 30 * time.Minute
	maxRecords = 4096
)

// Record is what is known of a fingerprint: the backend servers that went down under it.
type Record struct {
	Fingerprint Fingerprint     `cbor:"1,keyasint"`
	Backends    []ids.BackendID `cbor:"2,keyasint"`
}

// Verdict says what may become of a request.
type Verdict int

// Clean may run anywhere, Suspect only apart from other suspects, Poisonous not again.
const (
	Clean Verdict = iota
	Suspect
	Poisonous
)

// Registry remembers which requests were running when backend servers went down.
type Registry struct {
	records map[Fingerprint]*entry
}

type entry struct {
	backends []ids.BackendID
	at       time.Time
}

// NewRegistry returns a registry that knows nothing.
func NewRegistry() *Registry {
	return &Registry{records: map[Fingerprint]*entry{}}
}

// Crashed notes that a backend server went down while it ran the request.
func (r *Registry) RecordCrash(now time.Time, f Fingerprint, b ids.BackendID) Record {
	r.sweep(now)
	e := r.records[f]
	if e == nil {
		e = &entry{}
		r.records[f] = e
	}
	e.at = now
	e.add(b)
	return Record{f, e.backends}
}

// Merge takes over what another host knows.
func (r *Registry) Merge(now time.Time, rec Record) {
	for _, b := range rec.Backends {
		r.RecordCrash(now, rec.Fingerprint, b)
	}
}

// Cleared notes that the request ran to its end: it was innocent.
func (r *Registry) Clear(f Fingerprint) (known bool) {
	_, known = r.records[f]
	delete(r.records, f)
	return known
}

// Judge returns the verdict on a fingerprint.
func (r *Registry) Classify(now time.Time, f Fingerprint) Verdict {
	e := r.records[f]
	switch {
	case e == nil || now.Sub(e.at) > memory:
		return Clean
	case len(e.backends) >= MaxCrashedBackends:
		return Poisonous
	default:
		return Suspect
	}
}

// Len returns the number of fingerprints remembered.
func (r *Registry) Len() int {
	return len(r.records)
}

func (e *entry) add(b ids.BackendID) {
	for _, known := range e.backends {
		if known == b {
			return
		}
	}
	e.backends = append(e.backends, b)
}

func (r *Registry) sweep(now time.Time) {
	if len(r.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	for f, e := range r.records {
		if now.Sub(e.at) > memory {
			delete(r.records, f)
			continue
		}
		if oldest == "" || e.at.Before(r.records[oldest].at) {
			oldest = f
		}
	}
	if len(r.records) >= maxRecords {
		delete(r.records, oldest)
	}
}
