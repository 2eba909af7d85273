package origin

import (
	"cmp"
	"time"

	"verbenaledge.example/verbena/directory"
	"verbenaledge.example/verbena/ids"
)

// History is what one host tells another about the versions that it has seen.
type History struct {
	// ObservedFor is how long all versions have been known.
	ObservedFor time.Duration `cbor:"1,keyasint" json:"observed_for"`
	Versions    []Sighting    `cbor:"2,keyasint,omitempty" json:"versions"`
}

// Sighting is a version and the time since it was last listed.
type Sighting struct {
	Service ids.ServiceName           `cbor:"1,keyasint" json:"service"`
	Version directory.SoftwareVersion `cbor:"2,keyasint,omitempty" json:"version"`
	Age     time.Duration             `cbor:"3,keyasint,omitempty" json:"age"`
	// Listed is set for a version that is listed at present.
	Listed bool `cbor:"4,keyasint,omitempty" json:"listed"`
}

// FirstHistory returns the history to start from if none has been kept: no version was listed before.
func FirstHistory() History { return History{ObservedFor: keepTime} }

// After returns what a complete history says after some time in which no host has changed it. Versions that were listed
// count as listed until then. A negative duration, as from clocks that differ, counts as none.
func (h History) After(d time.Duration) History {
	d = max(0, d)
	later := History{ObservedFor: h.ObservedFor + d}
	for _, s := range h.Versions {
		if !s.Listed {
			s.Age += d
		}
		later.Versions = append(later.Versions, s)
	}
	return later
}

// Outdates reports whether this history differs from an earlier one by more than the time since then: a version is listed,
// or has left, in one of them only. A version that only the earlier one lists as left may have expired, and doesn't count.
func (h History) Outdates(earlier History) bool {
	listed := make(map[Origin]bool, len(earlier.Versions))
	for _, s := range earlier.Versions {
		listed[s.origin()] = s.Listed
	}
	for _, s := range h.Versions {
		if wasListed, ok := listed[s.origin()]; !ok || wasListed != s.Listed {
			return true
		}
		delete(listed, s.origin())
	}
	for _, wasListed := range listed {
		if wasListed {
			return true
		}
	}
	return false
}

func (s Sighting) origin() Origin { return Origin{Service: s.Service, Version: s.Version} }

func (s Sighting) compare(o Sighting) int {
	return cmp.Or(cmp.Compare(s.Service, o.Service), cmp.Compare(s.Version, o.Version))
}
