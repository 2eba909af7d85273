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
	// defaultTimeout bounds a call unless WithTimeout sets another bound.
	defaultTimeout = 2 * time.Second
	// maxWriteAttempts is how often a write without an answer is sent before the object is read back. A host
	// has one second to renew its lease.
	maxWriteAttempts = 3
	// writeRetryDelay is the delay between these attempts.
	writeRetryDelay = 50 * time.Millisecond
	// kindPrefix begins the kinds of objects that the daemon writes.
	kindPrefix = "verbenad-"
	// KindHosts is the kind of the entries of the host list.
	KindHosts objects.Kind = kindPrefix + "hosts"
)

// ObjectStore is a Store over an objects.Client. The part of a name before the first slash gives the kind.
type ObjectStore struct {
	objects objects.Client
	timeout time.Duration
	onCall  func(op string)
}

// Option changes how a store is built.
type Option func(*ObjectStore)

// WithTimeout bounds each call except watches.
func WithTimeout(d time.Duration) Option {
	return func(o *ObjectStore) { o.timeout = d }
}

// WithCallHook calls f before each call to the platform, so that calls can be counted.
func WithCallHook(f func(op string)) Option {
	return func(o *ObjectStore) { o.onCall = f }
}

// NewStore returns a store over an objects.Client.
func NewStore(c objects.Client, opts ...Option) *ObjectStore {
	o := &ObjectStore{objects: c, timeout: defaultTimeout, onCall: func(string) {}}
	for _, f := range opts {
		f(o)
	}
	return o
}

var _ Store = (*ObjectStore)(nil)

// storedValue is the JSON form of a value in an object.
type storedValue struct {
	Value []byte `json:"value"`
	// WriteID is unique to one write. A writer whose answer was lost reads it back to learn whether its write
	// took effect.
	WriteID writeID `json:"mark"`
}

// Get implements Store.
func (o *ObjectStore) Get(ctx context.Context, name string) (found Object, err error) {
	defer annotate(&err, "get "+name)
	found, _, err = o.read(ctx, name)
	return found, err
}

func (o *ObjectStore) read(ctx context.Context, name string) (found Object, id writeID, err error) {
	ctx, cancel := o.beginCall(ctx, "get")
	defer cancel()
	kind, objectName := splitName(name)
	object, err := o.objects.Get(ctx, kind, objectName)
	if err != nil {
		return Object{}, id, translateError(err)
	}
	return decodeObject(kind, object)
}

// List implements Store.
func (o *ObjectStore) List(ctx context.Context, prefix string, values bool) (l Listing, err error) {
	defer annotate(&err, "list "+prefix)
	ctx, cancel := o.beginCall(ctx, "list")
	defer cancel()
	kind, _ := splitName(prefix)
	all, err := o.objects.List(ctx, kind, false)
	if err != nil {
		return l, translateError(err)
	}
	l.Revision = ids.Version(all.Revision)
	for _, ob := range all.Objects {
		decoded, _, err := decodeObject(kind, ob)
		if err != nil {
			return Listing{}, err
		}
		if !values {
			decoded.Value = nil
		}
		if strings.HasPrefix(decoded.Name, prefix) {
			l.Objects = append(l.Objects, decoded)
		}
	}
	return l, nil
}

// Create implements Store.
func (o *ObjectStore) Create(ctx context.Context, name string, value []byte) (v ids.Version, err error) {
	defer annotate(&err, "create "+name)
	return o.write(ctx, name, value, func(ctx context.Context, kind objects.Kind, rest string, s storedValue) (objects.Object, error) {
		return o.objects.Create(ctx, kind, rest, s)
	})
}

// Update implements Store.
func (o *ObjectStore) Update(ctx context.Context, name string, expected ids.Version, value []byte) (v ids.Version, err error) {
	defer annotate(&err, "update "+name)
	if expected == 0 {
		return 0, ErrConflict
	}
	return o.write(ctx, name, value, func(ctx context.Context, kind objects.Kind, rest string, s storedValue) (objects.Object, error) {
		written, err := o.objects.Replace(ctx, kind, rest, objects.Revision(expected), s)
		if errors.Is(err, objects.ErrNotFound) {
			return written, objects.ErrConflict // the object with that version has been deleted
		}
		return written, err
	})
}

// Delete implements Store. A missing object counts as deleted only if the answer to an earlier attempt of
// this call was lost.
func (o *ObjectStore) Delete(ctx context.Context, name string, expected ids.Version) (err error) {
	defer annotate(&err, "delete "+name)
	kind, objectName := splitName(name)
	answerLost := false
	for range maxWriteAttempts {
		err = o.deleteOnce(ctx, kind, objectName, expected)
		if answerLost && errors.Is(err, ErrNotFound) {
			return nil
		}
		if !errors.Is(err, ErrUnavailable) {
			return err
		}
		answerLost = true
		if waitForRetry(ctx) != nil {
			return err
		}
	}
	return err
}

func (o *ObjectStore) deleteOnce(ctx context.Context, kind objects.Kind, name string, expected ids.Version) error {
	ctx, cancel := o.beginCall(ctx, "delete")
	defer cancel()
	return translateError(o.objects.Delete(ctx, kind, name, objects.Revision(expected)))
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
	kind, _ := splitName(prefix)
	changes, err := o.objects.Watch(ctx, kind, objects.Revision(after), wait)
	if errors.Is(err, objects.ErrCompacted) {
		return o.List(ctx, prefix, true)
	}
	if err != nil {
		return l, translateError(err)
	}
	l = Listing{Revision: ids.Version(changes.Revision)}
	for _, e := range changes.Events {
		decoded, _, err := decodeObject(kind, e.Object)
		if err != nil {
			return Listing{}, err
		}
		decoded.Deleted = e.Removed
		if strings.HasPrefix(decoded.Name, prefix) {
			l.Objects = append(l.Objects, decoded)
		}
	}
	return l, nil
}

// Hosts implements Store. It lists the hosts only if a watch shows a change since after.
func (o *ObjectStore) Hosts(ctx context.Context, after ids.Version) (l HostList, err error) {
	defer annotate(&err, "list hosts")
	ctx, cancel := o.beginCall(ctx, "hosts")
	defer cancel()
	if after > 0 {
		changes, err := o.objects.Watch(ctx, KindHosts, objects.Revision(after), 0)
		if err == nil && len(changes.Events) == 0 {
			return HostList{Version: after}, nil
		}
		if err != nil && !errors.Is(err, objects.ErrCompacted) {
			return l, translateError(err)
		}
	}
	all, err := o.objects.List(ctx, KindHosts, false)
	if err != nil {
		return l, translateError(err)
	}
	l.Version = ids.Version(all.Revision)
	for _, ob := range all.Objects {
		var s backend.Server
		if err := json.Unmarshal(ob.Spec, &s); err != nil {
			return HostList{}, fmt.Errorf("decode host %s: %w", ob.Name, err)
		}
		l.Servers = append(l.Servers, s)
	}
	return l, nil
}

// writeFunc makes one attempt at a conditional write.
type writeFunc func(ctx context.Context, kind objects.Kind, name string, s storedValue) (objects.Object, error)

// write sends a conditional write. If answers are lost, it repeats the same write, of which at most one can
// take effect, and at last reads back the write's id to learn whether it did.
func (o *ObjectStore) write(ctx context.Context, name string, value []byte, send writeFunc) (v ids.Version, err error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	s := storedValue{Value: value, WriteID: newWriteID()}
	answerLost := false
	for range maxWriteAttempts {
		v, err = o.writeOnce(ctx, name, s, send)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, ErrConflict) && answerLost:
			return o.readBack(ctx, name, s.WriteID)
		case !errors.Is(err, ErrUnavailable):
			return 0, err
		}
		answerLost = true
		if waitForRetry(ctx) != nil {
			return 0, err
		}
	}
	return o.readBack(ctx, name, s.WriteID)
}

func (o *ObjectStore) writeOnce(ctx context.Context, name string, s storedValue, send writeFunc) (ids.Version, error) {
	ctx, cancel := o.beginCall(ctx, "write")
	defer cancel()
	kind, objectName := splitName(name)
	object, err := send(ctx, kind, objectName, s)
	return ids.Version(object.Revision), translateError(err)
}

func (o *ObjectStore) readBack(ctx context.Context, name string, id writeID) (ids.Version, error) {
	found, foundID, err := o.read(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return 0, ErrUnavailable
	}
	if err != nil {
		return 0, err
	}
	if foundID != id {
		return 0, ErrConflict
	}
	return found.Version, nil
}

// beginCall calls the hook and returns a context with the call's timeout.
func (o *ObjectStore) beginCall(ctx context.Context, op string) (context.Context, context.CancelFunc) {
	o.onCall(op)
	return context.WithTimeout(ctx, o.timeout)
}

// translateError maps errors of package objects to those of this package.
func translateError(err error) error {
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

func waitForRetry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(writeRetryDelay):
		return nil
	}
}

func annotate(err *error, operation string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}
