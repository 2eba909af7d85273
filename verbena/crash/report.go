// Package crash decides which requests may run on backend servers although requests with parts of the same prompt were
// running when servers crashed. It does no I/O.
package crash

import (
	"slices"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// ReportID identifies the crash of a server among those that all hosts know.
type ReportID uint64

// Report is the crash of one server. If a prompt part caused it, that part is one of the candidates.
type Report struct {
	ID          ReportID              `json:"id" cbor:"1,keyasint"`
	Server      ids.BackendID         `json:"server" cbor:"2,keyasint"`
	Incarnation directory.Incarnation `json:"incarnation,omitempty" cbor:"3,keyasint,omitempty"`
	Service     ids.ServiceName       `json:"service" cbor:"4,keyasint"`
	// Version is the version of the server's software. Another version may not crash on the same parts.
	Version directory.SoftwareVersion `json:"version,omitempty" cbor:"5,keyasint,omitempty"`
	// Candidates are the prompt parts of the requests that the server had not begun to answer, without those that a
	// server has begun to answer since.
	Candidates []ids.PromptPartID `json:"candidates" cbor:"6,keyasint"`
	// OtherCause is set if the server was also running a request without shared prompt parts, which may be the cause.
	OtherCause bool `json:"other_cause,omitempty" cbor:"7,keyasint,omitempty"`
	// Trial is set if the server had been reserved for a suspect request, so that the crash shows its cause.
	Trial bool `json:"trial,omitempty" cbor:"9,keyasint,omitempty"`
	// Proving is set if the trial was one of those that were needed to block the request, as far as its scheduler knew.
	Proving bool `json:"proving,omitempty" cbor:"11,keyasint,omitempty"`
	// Host is the one that reported the crash; empty if several did, or if it isn't known.
	Host ids.HostID `json:"host,omitempty" cbor:"12,keyasint,omitempty"`
	// SoundOn are other software versions that have begun to answer a request that the report incriminates.
	SoundOn []directory.SoftwareVersion `json:"sound_on,omitempty" cbor:"10,keyasint,omitempty"`
	// Age is how long ago the crash was, at the time of sending.
	Age time.Duration `json:"age,omitempty" cbor:"8,keyasint,omitempty"`
	at  time.Time
	// lastAt is when the last request ended that is a sign of the crash, placedAt when the first one of these was placed; zero
	// for reports of other hosts.
	lastAt, placedAt time.Time
}

// addSign records a request that ended with the crash.
func (r *Report) addSign(now time.Time, u Unanswered) {
	if r.Host != u.Host {
		r.Host = ""
	}
	r.lastAt = now
	if r.placedAt.IsZero() || u.PlacedAt.Before(r.placedAt) {
		r.placedAt = u.PlacedAt
	}
}

// intersects reports whether one of the parts is a candidate.
func (r *Report) intersects(parts []ids.PromptPartID) bool {
	return slices.ContainsFunc(r.Candidates, func(c ids.PromptPartID) bool { return slices.Contains(parts, c) })
}

// concerns reports whether requests with these parts are suspect on a software version because of the report. On another
// version than that of the crash, only those are that the report incriminates, until one of them has been answered there.
func (r *Report) concerns(version directory.SoftwareVersion, parts []ids.PromptPartID) bool {
	if r.Version == version {
		return r.intersects(parts)
	}
	return r.incriminates(parts) && !slices.Contains(r.SoundOn, version)
}

// maxSoundVersions limits the memory of a report; few versions run at a time.
const maxSoundVersions = 8

// recordSound records that another software version has begun to answer a request that the report incriminates.
func (r *Report) recordSound(version directory.SoftwareVersion) (changed bool) {
	if slices.Contains(r.SoundOn, version) || len(r.SoundOn) >= maxSoundVersions {
		return false
	}
	r.SoundOn = append(slices.Clone(r.SoundOn), version)
	return true
}

// incriminates reports whether a request with these parts has the part that caused the crash, if a part caused it: all
// candidates are among its parts.
func (r *Report) incriminates(parts []ids.PromptPartID) bool {
	if r.OtherCause || len(r.Candidates) == 0 {
		return false
	}
	return !slices.ContainsFunc(r.Candidates, func(c ids.PromptPartID) bool { return !slices.Contains(parts, c) })
}
