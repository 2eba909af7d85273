// Package memory is an in-memory object store for tests and stand-in servers. Faults can be injected: refused
// calls, answers that are lost after the write took effect, and calls that are lost.
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

// Fault is a fault that is injected into a call.
type Fault int

// The faults.
const (
	// None executes the call and returns its result.
	None Fault = iota
	// Refuse doesn't execute the call and returns ErrRefused.
	Refuse
	// LoseAnswer executes the call but returns ErrUnknown.
	LoseAnswer
	// LoseCall doesn't execute the call and returns ErrUnknown.
	LoseCall
)

// Op identifies a call for the choice of its fault.
type Op struct {
	Verb string
	Kind objects.Kind
	Name string
}

// Store is an in-memory object store.
type Store struct {
	mu          sync.Mutex
	revision    objects.Revision
	kinds       map[objects.Kind]map[string]objects.Object
	history     []change
	compactedAt objects.Revision
	changed     chan struct{}
	fault       func(Op) Fault
	valueLimit  int
	calls       map[string]int
}

type change struct {
	kind     objects.Kind
	revision objects.Revision
	event    objects.Event
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, kinds: make(map[objects.Kind]map[string]objects.Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// SetFault sets the function that chooses the fault of each call; nil means no faults.
func (s *Store) SetFault(f func(Op) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetValueLimit sets the size limit of a spec or status in bytes; 0 means no limit.
func (s *Store) SetValueLimit(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.valueLimit = bytes
}

// checkSize returns ErrTooLarge if an encoded spec or status exceeds the limit.
func (s *Store) checkSize(raw json.RawMessage) error {
	if s.valueLimit > 0 && len(raw) > s.valueLimit {
		return objects.ErrTooLarge
	}
	return nil
}

// Calls returns how many calls with a verb were made.
func (s *Store) Calls(verb string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[verb]
}

// Compact discards the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedAt = nil, s.revision
}

// call counts a call and runs its work with the fault that is set for it.
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
	s.revision++
	o.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]objects.Object)
	}
	s.kinds[kind][o.Name] = o
	s.record(kind, objects.Event{Object: o})
	return o
}

func (s *Store) record(kind objects.Kind, e objects.Event) {
	s.history = append(s.history, change{kind: kind, revision: s.revision, event: e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the objects of a kind, sorted by name.
func (s *Store) List(_ context.Context, kind objects.Kind, _ bool) (l objects.Listing, err error) {
	err = s.call(Op{Verb: "list", Kind: kind}, func() error {
		l.Revision = s.revision
		for _, o := range s.kinds[kind] {
			l.Objects = append(l.Objects, o)
		}
		sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
		return nil
	})
	return l, err
}

// Get returns the object with a name.
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
		if err := s.checkSize(raw); err != nil {
			return err
		}
		o = s.put(kind, objects.Object{Name: name, Spec: raw})
		return nil
	})
	return o, err
}

// update edits an object if its revision is the expected one; revision 0 accepts any. raw is the new spec or status.
func (s *Store) update(op Op, at objects.Revision, raw json.RawMessage, edit func(*objects.Object)) (o objects.Object, err error) {
	err = s.call(op, func() error {
		if err := s.checkSize(raw); err != nil {
			return err
		}
		old, ok := s.kinds[op.Kind][op.Name]
		if !ok {
			return objects.ErrNotFound
		}
		if at > 0 && old.Revision != at {
			o = old
			return objects.ErrConflict
		}
		spec, status := string(old.Spec), string(old.Status)
		edit(&old)
		if o = old; string(o.Spec) == spec && string(o.Status) == status {
			return nil // a write that changes nothing is no change
		}
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
	return s.update(Op{Verb: "replace", Kind: kind, Name: name}, at, raw, func(o *objects.Object) { o.Spec = raw })
}

// SetStatus writes an object's status.
func (s *Store) SetStatus(_ context.Context, kind objects.Kind, name string, at objects.Revision, status any) (objects.Object, error) {
	raw, err := json.Marshal(status)
	if err != nil {
		return objects.Object{}, err
	}
	return s.update(Op{Verb: "status", Kind: kind, Name: name}, at, raw, func(o *objects.Object) { o.Status = raw })
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
		s.revision++
		s.record(kind, objects.Event{Object: old, Removed: true})
		return nil
	})
}

// Watch waits for changes after a revision.
func (s *Store) Watch(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (c objects.Changes, err error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for first := true; ; first = false {
		signal, err := s.poll(kind, after, first, &c)
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

// poll adds the events after a revision to c and returns a channel that is closed at the next change. counted is true
// for the first poll of a watch, which counts as a call and may get a fault.
func (s *Store) poll(kind objects.Kind, after objects.Revision, counted bool, c *objects.Changes) (signal <-chan struct{}, err error) {
	read := func() error {
		if after < s.compactedAt {
			return objects.ErrCompacted
		}
		c.Revision, signal = s.revision, s.changed
		for _, h := range s.history {
			if h.kind == kind && h.revision > after {
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
