// Package poison decides when a request that crashes backend servers must not be sent again.
package poison

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// MaxCrashedBackends is the largest number of backend servers that one request may crash.
const MaxCrashedBackends = 2

const (
	crashTTL   = 30 * time.Minute
	maxRecords = 4096
)

// Record lists the backend servers that crashed while they ran a request with a fingerprint.
type Record struct {
	Fingerprint Fingerprint     `cbor:"1,keyasint"`
	Backends    []ids.BackendID `cbor:"2,keyasint"`
}

// Verdict is the classification of a request.
type Verdict int

// A Clean request may run anywhere, a Suspect one only apart from other suspects, a Poisonous one not at all.
const (
	Clean Verdict = iota
	Suspect
	Poisonous
)

// Registry records which requests were running when backend servers crashed.
type Registry struct {
	records map[Fingerprint]*entry
}

type entry struct {
	backends  []ids.BackendID
	lastCrash time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[Fingerprint]*entry{}}
}

// RecordCrash records that a backend server crashed while it ran the request.
func (r *Registry) RecordCrash(now time.Time, f Fingerprint, b ids.BackendID) Record {
	r.evict(now)
	e := r.records[f]
	if e == nil {
		e = &entry{}
		r.records[f] = e
	}
	e.lastCrash = now
	e.add(b)
	return Record{f, e.backends}
}

// Merge adds the crashes in another host's record.
func (r *Registry) Merge(now time.Time, rec Record) {
	for _, b := range rec.Backends {
		r.RecordCrash(now, rec.Fingerprint, b)
	}
}

// Clear removes the record of a request that has completed, which shows that it doesn't crash servers. known is
// false if there was none.
func (r *Registry) Clear(f Fingerprint) (known bool) {
	_, known = r.records[f]
	delete(r.records, f)
	return known
}

// Classify returns the verdict on a fingerprint.
func (r *Registry) Classify(now time.Time, f Fingerprint) Verdict {
	e := r.records[f]
	switch {
	case e == nil || now.Sub(e.lastCrash) > crashTTL:
		return Clean
	case len(e.backends) >= MaxCrashedBackends:
		return Poisonous
	default:
		return Suspect
	}
}

// Len returns the number of recorded fingerprints.
func (r *Registry) Len() int {
	return len(r.records)
}

func (e *entry) add(b ids.BackendID) {
	for _, k := range e.backends {
		if k == b {
			return
		}
	}
	e.backends = append(e.backends, b)
}

func (r *Registry) evict(now time.Time) {
	if len(r.records) < maxRecords {
		return
	}
	var oldest Fingerprint
	for f, e := range r.records {
		if now.Sub(e.lastCrash) > crashTTL {
			delete(r.records, f)
			continue
		}
		if oldest == "" || e.lastCrash.Before(r.records[oldest].lastCrash) {
			oldest = f
		}
	}
	if len(r.records) >= maxRecords {
		delete(r.records, oldest)
	}
}
