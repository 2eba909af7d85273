// Package gossip decides which versions of the shared documents a host holds
// and how fresh its view of the platform is.
package gossip

import (
	"time"

	"verbenaledge.example/verbena/ids"
)

// Set holds the newest known version of each document. A version never goes back.
type DocumentSet struct {
	docs  map[Name]Document
	fresh time.Time
}

// NewSet returns a set that holds nothing.
func NewDocumentSet() *DocumentSet {
	return &DocumentSet{docs: map[Name]Document{}}
}

// Offer takes a document if it is newer than the one held.
func (s *DocumentSet) Offer(d Document) (taken bool) {
	if d.Version <= s.docs[d.Name].Version {
		return false
	}
	s.docs[d.Name] = d
	return true
}

// Get returns a document; its version is 0 when none is held.
func (s *DocumentSet) Get(n Name) Document {
	return s.docs[n]
}

// Digest returns the versions held.
func (s *DocumentSet) Digest() Digest {
	g := make(Digest, len(s.docs))
	for n, d := range s.docs {
		g[n] = d.Version
	}
	return g
}

// NewerThan returns the documents that a peer with the digest lacks.
func (s *DocumentSet) NewerThan(g Digest) (docs []Document) {
	for _, n := range Names {
		if d := s.docs[n]; d.Version > g[n] {
			docs = append(docs, d)
		}
	}
	return docs
}

// Wants tells whether the digest names a version newer than the one held.
func (s *DocumentSet) IsBehind(g Digest) bool {
	for n, v := range g {
		if v > s.docs[n].Version {
			return true
		}
	}
	return false
}

// Version returns the version held of a document.
func (s *DocumentSet) Version(n Name) ids.Version {
	return s.docs[n].Version
}

// Confirm notes that at the given time the view was as new as the platform's.
func (s *DocumentSet) ConfirmFresh(at time.Time) {
	if at.After(s.fresh) {
		s.fresh = at
	}
}

// Age returns how long ago the platform was last read, here or at a peer.
func (s *DocumentSet) Age(now time.Time) time.Duration {
	return now.Sub(s.fresh)
}
