// Package memory is a store of objects in memory, for tests and stand-ins. Faults can be injected:
// refusals, answers that are lost after the write took effect, and writes that land late.
package memory

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"verbenaledge.example/verbena/objects"
)

// Fault says what happens to a call.
type Fault int

// The faults.
const (
	// None executes the call and answers.
	None Fault = iota
	// Refuse doesn't execute the call.
	Refuse
	// LoseAnswer executes the call; its answer is lost.
	LoseAnswer
	// LoseCall doesn't execute the call and gives no answer.
	LoseCall
)

// Op names a call for faults.
type Op struct {
	Verb string
	Kind objects.Kind
	Name string
}

// Store holds objects.
type Store struct {
	mu      sync.Mutex
	at      objects.Revision
	kinds   map[objects.Kind]map[string]objects.Object
	history []change
	floor   objects.Revision
	changed chan struct{}
	fault   func(Op) Fault
	calls   map[string]int
}

type change struct {
	kind  objects.Kind
	at    objects.Revision
	event objects.Event
}

// New returns an empty store.
func New() *Store {
	return &Store{at: 1, kinds: make(map[objects.Kind]map[string]objects.Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFault decides the fault of each call from now on; nil means none.
func (s *Store) SetFault(f func(Op) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls of a verb came.
func (s *Store) Calls(verb string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[verb]
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.at
}

// call counts a call and applies its fault round the work.
func (s *Store) call(op Op, work func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op.Verb]++
	f := None
	if s.fault != nil {
		f = s.fault(op)
	}
	switch f {
	case Refuse:
		return objects.ErrRefused
	case LoseCall:
		return objects.ErrUnknown
	case LoseAnswer:
		return errors.Join(objects.ErrUnknown, work())
	case None:
	}
	return work()
}

func (s *Store) put(kind objects.Kind, o objects.Object) objects.Object {
	s.at++
	o.Revision = s.at
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]objects.Object)
	}
	s.kinds[kind][o.Name] = o
	s.note(kind, objects.Event{Object: o})
	return o
}

func (s *Store) note(kind objects.Kind, e objects.Event) {
	s.history = append(s.history, change{kind: kind, at: s.at, event: e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the objects of a kind by name.
func (s *Store) List(_ context.Context, kind objects.Kind, _ bool) (l objects.Listing, err error) {
	err = s.call(Op{Verb: "list", Kind: kind}, func() error {
		l.At = s.at
		for _, o := range s.kinds[kind] {
			l.Objects = append(l.Objects, o)
		}
		sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
		return nil
	})
	return l, err
}

// Get returns an object.
func (s *Store) Get(_ context.Context, kind objects.Kind, name string) (o objects.Object, err error) {
	err = s.call(Op{Verb: "get", Kind: kind, Name: name}, func() error {
		var ok bool
		if o, ok = s.kinds[kind][name]; !ok {
			return objects.ErrNotFound
		}
		return nil
	})
	return o, err
}

// Create writes a new object.
func (s *Store) Create(_ context.Context, kind objects.Kind, name string, spec any) (o objects.Object, err error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return o, err
	}
	err = s.call(Op{Verb: "create", Kind: kind, Name: name}, func() error {
		if old, ok := s.kinds[kind][name]; ok {
			o = old
			return objects.ErrConflict
		}
		o = s.put(kind, objects.Object{Name: name, Spec: raw})
		return nil
	})
	return o, err
}

// change rewrites an object under its revision.
func (s *Store) change(op Op, at objects.Revision, edit func(*objects.Object)) (o objects.Object, err error) {
	err = s.call(op, func() error {
		old, ok := s.kinds[op.Kind][op.Name]
		if !ok {
			return objects.ErrNotFound
		}
		if at > 0 && old.Revision != at {
			o = old
			return objects.ErrConflict
		}
		edit(&old)
		o = s.put(op.Kind, old)
		return nil
	})
	return o, err
}

// Replace writes an object's spec.
func (s *Store) Replace(_ context.Context, kind objects.Kind, name string, at objects.Revision, spec any) (objects.Object, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return objects.Object{}, err
	}
	return s.change(Op{Verb: "replace", Kind: kind, Name: name}, at, func(o *objects.Object) { o.Spec = raw })
}

// SetStatus writes an object's status.
func (s *Store) SetStatus(_ context.Context, kind objects.Kind, name string, at objects.Revision, status any) (objects.Object, error) {
	raw, err := json.Marshal(status)
	if err != nil {
		return objects.Object{}, err
	}
	return s.change(Op{Verb: "status", Kind: kind, Name: name}, at, func(o *objects.Object) { o.Status = raw })
}

// Delete removes an object.
func (s *Store) Delete(_ context.Context, kind objects.Kind, name string, at objects.Revision) error {
	return s.call(Op{Verb: "delete", Kind: kind, Name: name}, func() error {
		old, ok := s.kinds[kind][name]
		if !ok {
			return objects.ErrNotFound
		}
		if at > 0 && old.Revision != at {
			return objects.ErrConflict
		}
		delete(s.kinds[kind], name)
		s.at++
		s.note(kind, objects.Event{Object: old, Removed: true})
		return nil
	})
}

// Watch waits for changes.
func (s *Store) Watch(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (c objects.Changes, err error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for first := true; ; first = false {
		signal, err := s.look(kind, after, first, &c)
		if err != nil || len(c.Events) > 0 {
			return c, err
		}
		select {
		case <-signal:
		case <-t.C:
			return c, nil
		case <-ctx.Done():
			return c, errors.Join(objects.ErrUnknown, ctx.Err())
		}
	}
}

func (s *Store) look(kind objects.Kind, after objects.Revision, counted bool, c *objects.Changes) (signal <-chan struct{}, err error) {
	read := func() error {
		if after < s.floor {
			return objects.ErrCompacted
		}
		c.At, signal = s.at, s.changed
		for _, h := range s.history {
			if h.kind == kind && h.at > after {
				c.Events = append(c.Events, h.event)
			}
		}
		return nil
	}
	if counted {
		err = s.call(Op{Verb: "watch", Kind: kind}, read)
		return signal, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err = read()
	return signal, err
}
