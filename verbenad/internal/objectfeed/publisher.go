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
const gatherEach = time.Millisecond

// Publisher passes objects on to the hosts that are connected.
type Publisher struct {
	age func(objects.Kind) time.Duration

	mu    sync.Mutex
	kinds map[objects.Kind]*topic
	links map[*hostlink.Link]bool
}

// topic is a kind as it is known, and as it was sent last.
type topic struct {
	known state
	sent  state
	// full is the encoded message with all that was sent, made when a host joins.
	full  []byte
	timer bool
}

// state is all objects of a kind at a revision.
type state struct {
	all map[string]objects.Object
	at  objects.Revision
}

// NewPublisher returns a publisher. age tells how long ago the store last confirmed a kind.
func NewPublisher(age func(objects.Kind) time.Duration) *Publisher {
	return &Publisher{age: age, kinds: make(map[objects.Kind]*topic), links: make(map[*hostlink.Link]bool)}
}

// Publish takes the newest objects of a kind and sends what changed.
func (p *Publisher) Publish(kind objects.Kind, all map[string]objects.Object, at objects.Revision) {
	next := state{all: make(map[string]objects.Object, len(all)), at: at}
	for name, o := range all {
		next.all[name] = o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.kinds[kind]
	if !ok {
		t = &topic{}
		p.kinds[kind] = t
	}
	t.known = next
	if len(p.links) == 0 {
		t.sent, t.full = next, nil
		return
	}
	if !t.timer {
		t.timer = true
		time.AfterFunc(time.Duration(len(p.links))*gatherEach, func() { p.flush(kind) })
	}
}

// flush sends what changed since the last time, encoded once for all hosts.
func (p *Publisher) flush(kind objects.Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.kinds[kind]
	t.timer = false
	news := difference(t.sent, t.known)
	news.Kind = kind
	t.sent, t.full = t.known, nil
	raw, err := hostlink.Encode(hostlink.Frame{News: &news})
	if err != nil {
		log.WithError(err).WithField("kind", kind).Error("news not sent; hosts read the store")
		return
	}
	for l := range p.links {
		_ = l.SendEncoded(raw) // a closed connection ends its reader
	}
}

func difference(old, next state) (n hostlink.Update) {
	n.FromRevision, n.Revision = old.at, next.at
	for name, o := range next.all {
		if was, ok := old.all[name]; !ok || was.Revision != o.Revision || !bytes.Equal(was.Status, o.Status) {
			n.Objects = append(n.Objects, o)
		}
	}
	for name := range old.all {
		if _, ok := next.all[name]; !ok {
			n.Removed = append(n.Removed, name)
		}
	}
	return n
}

// Add sends all that was sent to the others to a host, and from then on what changes.
func (p *Publisher) Add(l *hostlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = true
	for kind, t := range p.kinds {
		if t.full == nil {
			news := difference(state{}, t.sent)
			news.Kind, news.Full = kind, true
			raw, err := hostlink.Encode(hostlink.Frame{News: &news})
			if err != nil {
				log.WithError(err).WithField("kind", kind).Error("news not sent; hosts read the store")
				continue
			}
			t.full = raw
		}
		_ = l.SendEncoded(t.full) // a closed connection ends its reader
	}
}

// Remove forgets a connection.
func (p *Publisher) Remove(l *hostlink.Link) {
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
