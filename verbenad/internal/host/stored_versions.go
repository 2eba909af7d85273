package host

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/clock"
	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbena/origin"
)

// kindVersions is the kind of the stored history of software versions, which is one object.
const kindVersions objects.Kind = "verbena-versions"

const nameVersions = "history"

// storedVersions keeps in the store which software versions were listed, so that streams can be resumed after the loss of
// all hosts at once. Only the dispatching host writes it. It lacks versions that were first listed, and then removed, less
// than saveInterval before the loss, or while the store refused writes.
type storedVersions struct {
	object *storedObject[versionsObject]
	clock  clock.Clock
	// mayWrite reports whether this host dispatches.
	mayWrite func() bool
	// maxClockSkew is by how much the clock of the host that wrote the history may be behind this host's.
	maxClockSkew time.Duration
	// stored is what the store holds, nil if that isn't known.
	stored *versionsObject
}

// versionsObject is the stored form of the history.
type versionsObject struct {
	// At is when the history was taken.
	At      time.Time      `json:"at"`
	History origin.History `json:"history"`
}

func newStoredVersions(store objects.Client, c clock.Clock, mayWrite func() bool, maxClockSkew time.Duration) *storedVersions {
	return &storedVersions{object: newStoredObject[versionsObject](store, kindVersions, nameVersions), clock: c, mayWrite: mayWrite, maxClockSkew: maxClockSkew}
}

// save queues a history for the next write.
func (s *storedVersions) save(h origin.History) {
	s.object.save(versionsObject{At: s.clock.Now(), History: h})
}

// run loads the stored history, passes it on, and then writes those that are saved, until the context ends.
func (s *storedVersions) run(ctx context.Context, loaded func(origin.History)) {
	s.object.run(ctx, func(ctx context.Context) bool { return s.load(ctx, loaded) }, s.write)
}

// load reports whether the history needn't be read again.
func (s *storedVersions) load(ctx context.Context, loaded func(origin.History)) bool {
	stored, err := s.object.read(ctx)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		// No host that begins streams by version has dispatched here yet.
		log.Info("no software versions are stored yet")
		loaded(origin.FirstHistory())
	case errors.Is(err, errUnreadable):
		log.WithError(err).Error("cannot decode the stored software versions, ignoring them")
	case err != nil:
		log.WithError(err).Warn("software versions not read yet")
		return false
	default:
		age := s.clock.Now().Sub(stored.At)
		log.WithFields(log.Fields{"versions": len(stored.History.Versions), "age_ms": age.Milliseconds()}).Info("stored software versions loaded")
		s.stored = &stored
		loaded(stored.History.After(age - s.maxClockSkew))
	}
	return true
}

// write writes a history unless what is stored says the same. It reports whether the history needn't be written again.
func (s *storedVersions) write(ctx context.Context, o versionsObject) bool {
	if !s.mayWrite() {
		s.stored = nil // another host dispatches and writes
		return false
	}
	if s.stored != nil && !o.History.Outdates(s.stored.History) {
		return true
	}
	if err := s.object.replace(ctx, o); err != nil {
		s.stored = nil
		log.WithError(err).Warn("software versions not written yet")
		return false
	}
	s.stored = &o
	log.WithField("versions", len(o.History.Versions)).Info("software versions written")
	return true
}
