// Package objectfeed passes what one host knows of the store's objects on to others, with its age, so that
// not each host has to watch the store itself.
package objectfeed

import (
	"bytes"
	"sync"
	"time"

	"github.com/apex/log"

	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// gatherEach is the time for which changes are gathered, a host: it bounds the messages that one
// host sends, however many hosts there are and however fast objects change.
const gatherTimePerHost = time.Millisecond

// Publisher passes objects on to the hosts that are connected.
type Publisher struct {
	age func(objects.Kind) time.Duration

	mu    sync.Mutex
	kinds map[objects.Kind]*kindState
	links map[*hostlink.Link]bool
}

// topic is a kind as it is known, and as it was sent last.
type kindState struct {
	known snapshot
	sent  snapshot
	// full is the encoded message with all that was sent, made when a host joins.
	full           []byte
	flushScheduled bool
}

// state is all objects of a kind at a revision.
type snapshot struct {
	objects  map[string]objects.Object
	revision objects.Revision
}

// NewPublisher returns a publisher. age tells how long ago the store last confirmed a kind.
func NewPublisher(age func(objects.Kind) time.Duration) *Publisher {
	return &Publisher{age: age, kinds: make(map[objects.Kind]*kindState), links: make(map[*hostlink.Link]bool)}
}

// Publish takes the newest objects of a kind and sends what changed.
func (p *Publisher) Publish(kind objects.Kind, all map[string]objects.Object, at objects.Revision) {
	next := snapshot{objects: make(map[string]objects.Object, len(all)), revision: at}
	for name, o := range all {
		next.objects[name] = o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.kinds[kind]
	if !ok {
		t = &kindState{}
		p.kinds[kind] = t
	}
	t.known = next
	if len(p.links) == 0 {
		t.sent, t.full = next, nil
		return
	}
	if !t.flushScheduled {
		t.flushScheduled = true
		time.AfterFunc(time.Duration(len(p.links))*gatherTimePerHost, func() { p.flush(kind) })
	}
}

// flush sends what changed since the last time, encoded once for all hosts.
func (p *Publisher) flush(kind objects.Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.kinds[kind]
	t.flushScheduled = false
	news := diff(t.sent, t.known)
	news.Kind = kind
	t.sent, t.full = t.known, nil
	raw, err := hostlink.Encode(hostlink.Frame{Update: &news})
	if err != nil {
		log.WithError(err).WithField("kind", kind).Error("news not sent; hosts read the store")
		return
	}
	for l := range p.links {
		_ = l.SendEncoded(raw) // the reader of a closed link handles the disconnect
	}
}

func diff(old, next snapshot) (n hostlink.Update) {
	n.FromRevision, n.Revision = old.revision, next.revision
	for name, o := range next.objects {
		if was, ok := old.objects[name]; !ok || was.Revision != o.Revision || !bytes.Equal(was.Status, o.Status) {
			n.Objects = append(n.Objects, o)
		}
	}
	for name := range old.objects {
		if _, ok := next.objects[name]; !ok {
			n.Removed = append(n.Removed, name)
		}
	}
	return n
}

// Add sends all that was sent to the others to a host, and from then on what changes.
func (p *Publisher) Subscribe(l *hostlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = true
	for kind, t := range p.kinds {
		if t.full == nil {
			news := diff(snapshot{}, t.sent)
			news.Kind, news.Full = kind, true
			raw, err := hostlink.Encode(hostlink.Frame{Update: &news})
			if err != nil {
				log.WithError(err).WithField("kind", kind).Error("news not sent; hosts read the store")
				continue
			}
			t.full = raw
		}
		_ = l.SendEncoded(t.full) // the reader of a closed link handles the disconnect
	}
}

// Remove forgets a connection.
func (p *Publisher) Unsubscribe(l *hostlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// Ages tells how old what this host knows is, by kind.
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
