// Package objectfeed sends the store's objects that one host knows, with their age, to other hosts, so that not every
// host has to watch the store itself.
package objectfeed

import (
	"bytes"
	"sync"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// gatherTimePerHost is the time for which changes are collected before they are sent, per connected host. It
// bounds the rate of frames that a host sends, however many hosts there are and however fast objects change.
const gatherTimePerHost = time.Millisecond

// Publisher sends objects to connected hosts.
type Publisher struct {
	age func(objects.Kind) time.Duration

	mu    sync.Mutex
	kinds map[objects.Kind]*kindState
	links map[*hostlink.Link]bool
}

// kindState is a kind's objects as they are known, and as they were last sent.
type kindState struct {
	known snapshot
	sent  snapshot
	// full is the encoded frame with all objects last sent. It is made when a host subscribes.
	full           []byte
	flushScheduled bool
}

// snapshot holds all objects of a kind at a revision.
type snapshot struct {
	objects  map[string]objects.Object
	revision objects.Revision
}

// NewPublisher returns a publisher. age returns how long ago the store last confirmed a kind, negative if it is unknown.
func NewPublisher(age func(objects.Kind) time.Duration) *Publisher {
	return &Publisher{age: age, kinds: make(map[objects.Kind]*kindState), links: make(map[*hostlink.Link]bool)}
}

// Publish sets the objects of a kind and sends what changed.
func (p *Publisher) Publish(kind objects.Kind, all map[string]objects.Object, revision objects.Revision) {
	next := snapshot{objects: make(map[string]objects.Object, len(all)), revision: revision}
	for name, o := range all {
		next.objects[name] = o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.kinds[kind]
	if !ok {
		state = &kindState{}
		p.kinds[kind] = state
	}
	state.known = next
	if len(p.links) == 0 {
		state.sent, state.full = next, nil
		return
	}
	if !state.flushScheduled {
		state.flushScheduled = true
		time.AfterFunc(time.Duration(len(p.links))*gatherTimePerHost, func() { p.flush(kind) })
	}
}

// flush sends what changed since the last flush, encoded once for all hosts.
func (p *Publisher) flush(kind objects.Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.kinds[kind]
	state.flushScheduled = false
	update := diff(state.sent, state.known)
	update.Kind = kind
	state.sent, state.full = state.known, nil
	raw, err := hostlink.Encode(hostlink.Frame{Update: &update})
	if err != nil {
		log.WithError(err).WithField("kind", kind).Error("object update not sent: connected hosts read the store from the next update on")
		return
	}
	for l := range p.links {
		_ = l.SendEncoded(raw) // the reader of a closed link handles the disconnect
	}
}

// diff returns the update that leads from one snapshot to the next.
func diff(old, next snapshot) (update hostlink.Update) {
	update.FromRevision, update.Revision = old.revision, next.revision
	for name, o := range next.objects {
		if was, ok := old.objects[name]; !ok || was.Revision != o.Revision || !bytes.Equal(was.Status, o.Status) {
			update.Objects = append(update.Objects, o)
		}
	}
	for name := range old.objects {
		if _, ok := next.objects[name]; !ok {
			update.Removed = append(update.Removed, name)
		}
	}
	return update
}

// Subscribe sends a host all objects that the others have been sent, and from then on what changes.
func (p *Publisher) Subscribe(l *hostlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = true
	for kind, state := range p.kinds {
		if state.full == nil {
			update := diff(snapshot{}, state.sent)
			update.Kind, update.Full = kind, true
			raw, err := hostlink.Encode(hostlink.Frame{Update: &update})
			if err != nil {
				log.WithError(err).WithField("kind", kind).Error("objects not sent to a new host: it reads the store")
				continue
			}
			state.full = raw
		}
		_ = l.SendEncoded(state.full) // the reader of a closed link handles the disconnect
	}
}

// Unsubscribe stops sending to a host.
func (p *Publisher) Unsubscribe(l *hostlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// Ages returns how long ago the store confirmed the objects known here, by kind.
func (p *Publisher) Ages() map[objects.Kind]time.Duration {
	p.mu.Lock()
	kinds := make([]objects.Kind, 0, len(p.kinds))
	for k := range p.kinds {
		kinds = append(kinds, k)
	}
	p.mu.Unlock()
	ages := make(map[objects.Kind]time.Duration, len(kinds))
	for _, k := range kinds {
		if a := p.age(k); a >= 0 {
			ages[k] = a
		}
	}
	return ages
}
