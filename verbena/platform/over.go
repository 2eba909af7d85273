package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/objects"
)

const (
	// defaultTimeout bounds a call if the settings say nothing.
	defaultTimeout = 2 * time.Second
	// settleTries is how often a write without an answer is sent again before it is read back, settlePause
	// the time between; a host that renews its lease has a second.
	settleTries = 3
	settlePause = 50 * time.Millisecond
	// kindPrefix begins the kinds of objects that the daemon writes.
	kindPrefix = "verbenad-"
	// KindHosts is where the list of hosts stands.
	KindHosts objects.Kind = kindPrefix + "hosts"
)

// Over is a Store over the client for objects: the first part of a name is the kind.
type ObjectStore struct {
	objects objects.Client
	timeout time.Duration
	onCall  func(op string)
}

// Option changes how a store is built.
type Option func(*ObjectStore)

// WithTimeout bounds each call but a watch.
func WithTimeout(d time.Duration) Option {
	return func(o *ObjectStore) { o.timeout = d }
}

// WithCallHook calls f before each call to the platform, for counting it.
func WithCallHook(f func(op string)) Option {
	return func(o *ObjectStore) { o.onCall = f }
}

// NewStore returns a store over a client for objects.
func NewStore(c objects.Client, opts ...Option) *ObjectStore {
	o := &ObjectStore{objects: c, timeout: defaultTimeout, onCall: func(string) {}}
	for _, apply := range opts {
		apply(o)
	}
	return o
}

var _ Store = (*ObjectStore)(nil)

// stored is how a value stands in an object.
type stored struct {
	Value []byte `json:"value"`
	// Mark is unique to one write, so that a writer whose answer was lost can tell by reading back whether
	// its write took effect.
	Mark mark `json:"mark"`
}

// Get implements Store.
func (o *ObjectStore) Get(ctx context.Context, name string) (found Object, err error) {
	defer annotate(&err, "get "+name)
	found, _, err = o.read(ctx, name)
	return found, err
}

func (o *ObjectStore) read(ctx context.Context, name string) (found Object, m mark, err error) {
	ctx, cancel := o.bounded(ctx, "get")
	defer cancel()
	kind, rest := split(name)
	object, err := o.objects.Get(ctx, kind, rest)
	if err != nil {
		return Object{}, m, translated(err)
	}
	return decode(kind, object)
}

// List implements Store.
func (o *ObjectStore) List(ctx context.Context, prefix string, values bool) (l Listing, err error) {
	defer annotate(&err, "list "+prefix)
	ctx, cancel := o.bounded(ctx, "list")
	defer cancel()
	kind, _ := split(prefix)
	all, err := o.objects.List(ctx, kind, false)
	if err != nil {
		return l, translated(err)
	}
	l.Revision = ids.Version(all.At)
	for _, object := range all.Objects {
		one, _, err := decode(kind, object)
		if err != nil {
			return Listing{}, err
		}
		if !values {
			one.Value = nil
		}
		if strings.HasPrefix(one.Name, prefix) {
			l.Objects = append(l.Objects, one)
		}
	}
	return l, nil
}

// Create implements Store.
func (o *ObjectStore) Create(ctx context.Context, name string, value []byte) (v ids.Version, err error) {
	defer annotate(&err, "create "+name)
	return o.write(ctx, name, value, func(ctx context.Context, kind objects.Kind, rest string, s stored) (objects.Object, error) {
		return o.objects.Create(ctx, kind, rest, s)
	})
}

// Update implements Store.
func (o *ObjectStore) Update(ctx context.Context, name string, expected ids.Version, value []byte) (v ids.Version, err error) {
	defer annotate(&err, "update "+name)
	if expected == 0 {
		return 0, ErrConflict
	}
	return o.write(ctx, name, value, func(ctx context.Context, kind objects.Kind, rest string, s stored) (objects.Object, error) {
		written, err := o.objects.Replace(ctx, kind, rest, objects.Revision(expected), s)
		if errors.Is(err, objects.ErrNotFound) {
			return written, objects.ErrConflict // it had that version, and is gone
		}
		return written, err
	})
}

// Delete implements Store. An object that is gone already counts as deleted only
// when the answer to this call's own first try was lost.
func (o *ObjectStore) Delete(ctx context.Context, name string, expected ids.Version) (err error) {
	defer annotate(&err, "delete "+name)
	kind, rest := split(name)
	lost := false
	for range settleTries {
		err = o.deleteOnce(ctx, kind, rest, expected)
		if lost && errors.Is(err, ErrNotFound) {
			return nil
		}
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
		lost = true
		if pause(ctx) != nil {
			return err
		}
	}
	return err
}

func (o *ObjectStore) deleteOnce(ctx context.Context, kind objects.Kind, name string, expected ids.Version) error {
	ctx, cancel := o.bounded(ctx, "delete")
	defer cancel()
	return translated(o.objects.Delete(ctx, kind, name, objects.Revision(expected)))
}

// Watch implements Store.
func (o *ObjectStore) Watch(ctx context.Context, prefix string, after ids.Version, wait time.Duration) (l Listing, err error) {
	defer annotate(&err, "watch "+prefix)
	if after == 0 {
		if l, err = o.List(ctx, prefix, true); err != nil || len(l.Objects) > 0 {
			return l, err
		}
		after = l.Revision
	}
	o.onCall("watch")
	kind, _ := split(prefix)
	changes, err := o.objects.Watch(ctx, kind, objects.Revision(after), wait)
	if errors.Is(err, objects.ErrCompacted) {
		return o.List(ctx, prefix, true)
	}
	if err != nil {
		return l, translated(err)
	}
	l = Listing{Revision: ids.Version(changes.At)}
	for _, e := range changes.Events {
		one, _, err := decode(kind, e.Object)
		if err != nil {
			return Listing{}, err
		}
		one.Deleted = e.Removed
		if strings.HasPrefix(one.Name, prefix) {
			l.Objects = append(l.Objects, one)
		}
	}
	return l, nil
}

// Hosts implements Store. Without a change since, the answer is short.
func (o *ObjectStore) Hosts(ctx context.Context, after ids.Version) (l HostList, err error) {
	defer annotate(&err, "list hosts")
	ctx, cancel := o.bounded(ctx, "hosts")
	defer cancel()
	if after > 0 {
		changes, err := o.objects.Watch(ctx, KindHosts, objects.Revision(after), 0)
		if err == nil && len(changes.Events) == 0 {
			return HostList{Version: after}, nil
		}
		if err != nil && !errors.Is(err, objects.ErrCompacted) {
			return l, translated(err)
		}
	}
	all, err := o.objects.List(ctx, KindHosts, false)
	if err != nil {
		return l, translated(err)
	}
	l.Version = ids.Version(all.At)
	for _, object := range all.Objects {
		var s backend.Server
		if err := json.Unmarshal(object.Spec, &s); err != nil {
			return HostList{}, fmt.Errorf("host %s can't be read: %w", object.Name, err)
		}
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

// attempt is one try of a conditional write.
type attempt func(ctx context.Context, kind objects.Kind, name string, s stored) (objects.Object, error)

// write settles a write whose answer was lost by reading back its mark. The same
// conditional write may be sent again: at most one of them can take effect.
func (o *ObjectStore) write(ctx context.Context, name string, value []byte, try attempt) (v ids.Version, err error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	s := stored{Value: value, Mark: newMark()}
	lost := false
	for range settleTries {
		v, err = o.writeOnce(ctx, name, s, try)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, ErrConflict) && lost:
			return o.readBack(ctx, name, s.Mark)
		case !errors.Is(err, ErrUnavailable):
			return 0, err
		}
		lost = true
		if pause(ctx) != nil {
			return 0, err
		}
	}
	return o.readBack(ctx, name, s.Mark)
}

func (o *ObjectStore) writeOnce(ctx context.Context, name string, s stored, try attempt) (ids.Version, error) {
	ctx, cancel := o.bounded(ctx, "write")
	defer cancel()
	kind, rest := split(name)
	object, err := try(ctx, kind, rest, s)
	return ids.Version(object.Revision), translated(err)
}

func (o *ObjectStore) readBack(ctx context.Context, name string, m mark) (ids.Version, error) {
	found, wrote, err := o.read(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return 0, ErrUnavailable
	}
	if err != nil {
		return 0, err
	}
	if wrote != m {
		return 0, ErrConflict
	}
	return found.Version, nil
}

func (o *ObjectStore) bounded(ctx context.Context, op string) (context.Context, context.CancelFunc) {
	o.onCall(op)
	return context.WithTimeout(ctx, o.timeout)
}

// translated tells the errors of objects in this package's.
func translated(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, objects.ErrNotFound):
		return ErrNotFound
	case errors.Is(err, objects.ErrConflict):
		return ErrConflict
	}
	return fmt.Errorf("%w (%w)", ErrUnavailable, err)
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settlePause):
		return nil
	}
}

func annotate(err *error, what string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", what, *err)
	}
}
