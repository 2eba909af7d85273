// Package relay passes what one host knows of the store's objects on to others, with its age, so that
// not each host has to watch the store itself.
package relay

import (
	"bytes"
	"sync"
	"time"

	"verbenaledge.example/verbena/objects"
	"verbenaledge.example/verbenad/internal/hostlink"
)

// Publisher passes objects on to the hosts that are connected.
type Publisher struct {
	age func(objects.Kind) time.Duration

	mu     sync.Mutex
	states map[objects.Kind]state
	links  map[*hostlink.Link]bool
}

// state is all objects of a kind at a revision.
type state struct {
	all map[string]objects.Object
	at  objects.Revision
}

// NewPublisher returns a publisher. age tells how long ago the store last confirmed a kind.
func NewPublisher(age func(objects.Kind) time.Duration) *Publisher {
	return &Publisher{age: age, states: make(map[objects.Kind]state), links: make(map[*hostlink.Link]bool)}
}

// Publish takes the newest objects of a kind and sends what changed.
func (p *Publisher) Publish(kind objects.Kind, all map[string]objects.Object, at objects.Revision) {
	next := state{all: make(map[string]objects.Object, len(all)), at: at}
	for name, o := range all {
		next.all[name] = o
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	news := difference(p.states[kind], next)
	news.Kind = kind
	p.states[kind] = next
	for l := range p.links {
		_ = l.Send(hostlink.Frame{News: &news}) // a closed connection ends its reader
	}
}

func difference(old, next state) (n hostlink.News) {
	n.From, n.At = old.at, next.at
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

// Add sends all that is known to a host, and from then on what changes.
func (p *Publisher) Add(l *hostlink.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = true
	for kind, s := range p.states {
		news := difference(state{}, s)
		news.Kind, news.Full = kind, true
		_ = l.Send(hostlink.Frame{News: &news}) // a closed connection ends its reader
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
	kinds := make([]objects.Kind, 0, len(p.states))
	for k := range p.states {
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
