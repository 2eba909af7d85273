// Package gossip tracks which versions of the shared documents a host holds, how
// old its view of the platform is, and whether the host is isolated.
package gossip

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// DocumentSet holds the newest known version of each document. Versions never decrease.
type DocumentSet struct {
	docs        map[Name]Document
	confirmedAt time.Time
}

// NewDocumentSet returns an empty set.
func NewDocumentSet() *DocumentSet {
	return &DocumentSet{docs: map[Name]Document{}}
}

// Offer stores a document if it is newer than the held version.
func (s *DocumentSet) Offer(d Document) (stored bool) {
	if d.Version <= s.docs[d.Name].Version {
		return false
	}
	s.docs[d.Name] = d
	return true
}

// Get returns a document. Its version is 0 when the set doesn't hold it.
func (s *DocumentSet) Get(n Name) Document {
	return s.docs[n]
}

// Digest returns the held versions.
func (s *DocumentSet) Digest() Digest {
	g := make(Digest, len(s.docs))
	for n, d := range s.docs {
		g[n] = d.Version
	}
	return g
}

// NewerThan returns the documents that are newer here than in a peer's digest.
func (s *DocumentSet) NewerThan(g Digest) (docs []Document) {
	for _, n := range Names {
		if d := s.docs[n]; d.Version > g[n] {
			docs = append(docs, d)
		}
	}
	return docs
}

// IsBehind reports whether the digest contains a newer version than the held one.
func (s *DocumentSet) IsBehind(g Digest) bool {
	for n, v := range g {
		if v > s.docs[n].Version {
			return true
		}
	}
	return false
}

// Version returns the held version of a document, or 0.
func (s *DocumentSet) Version(n Name) ids.Version {
	return s.docs[n].Version
}

// ConfirmFresh records that the held documents were the platform's newest at a time.
func (s *DocumentSet) ConfirmFresh(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Age returns the time since the held documents were last confirmed to be the newest.
func (s *DocumentSet) Age(now time.Time) time.Duration {
	return now.Sub(s.confirmedAt)
}
