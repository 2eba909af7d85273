// Package memory is the platform's object API in memory, for tests and stand-ins.
package memory

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"verbenaledge.example/verbena/backend"
	"verbenaledge.example/verbena/ids"
	"verbenaledge.example/verbena/platform"
)

const treeDegree = 32

// Store is a platform.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision ids.Version
	objects  *btree.BTreeG[platform.Object]
	changed  chan struct{}
	hosts    platform.HostList
	down     bool
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: btree.NewG(treeDegree, func(a, b platform.Object) bool { return a.Name < b.Name }),
		changed: make(chan struct{}),
	}
}

var _ platform.Store = (*Store)(nil)

// SetDown makes every call fail with ErrUnavailable, or work again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetHosts replaces the host list and raises its version.
func (s *Store) SetHosts(servers []backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = platform.HostList{Version: s.hosts.Version + 1, Servers: servers}
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, name string) (o platform.Object, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, found := s.objects.Get(platform.Object{Name: name})
	if !found || o.Deleted {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// List implements platform.Store.
func (s *Store) List(_ context.Context, prefix string, values bool) (l platform.Listing, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Listing{}, platform.ErrUnavailable
	}
	l = s.scan(prefix, func(o platform.Object) bool { return !o.Deleted })
	if !values {
		for i := range l.Objects {
			l.Objects[i].Value = nil
		}
	}
	return l, nil
}

// Create implements platform.Store.
func (s *Store) Create(_ context.Context, name string, value []byte) (ids.Version, error) {
	return s.put(name, 0, value)
}

// Update implements platform.Store.
func (s *Store) Update(_ context.Context, name string, expected ids.Version, value []byte) (ids.Version, error) {
	if expected == 0 {
		return 0, platform.ErrConflict
	}
	return s.put(name, expected, value)
}

// Put writes an object that must have the expected version; 0 stands for absent.
func (s *Store) Put(name string, expected ids.Version, value []byte) (ids.Version, error) {
	return s.put(name, expected, value)
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, name string, expected ids.Version) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.ErrUnavailable
	}
	o, found := s.objects.Get(platform.Object{Name: name})
	if !found || o.Deleted {
		return platform.ErrNotFound
	}
	if o.Version != expected {
		return platform.ErrConflict
	}
	s.store(platform.Object{Name: name, Deleted: true})
	return nil
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after ids.Version, wait time.Duration) (l platform.Listing, err error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := s.newer(prefix, after)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return l, nil
		case <-ctx.Done():
			return platform.Listing{}, ctx.Err()
		}
	}
}

// Hosts implements platform.Store.
func (s *Store) Hosts(_ context.Context, after ids.Version) (l platform.HostList, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.HostList{}, platform.ErrUnavailable
	}
	if s.hosts.Version == after {
		return platform.HostList{Version: after}, nil
	}
	return s.hosts, nil
}

func (s *Store) put(name string, expected ids.Version, value []byte) (v ids.Version, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnavailable
	}
	if len(value) > platform.MaxValueBytes+64 {
		return 0, platform.ErrTooLarge
	}
	o, _ := s.objects.Get(platform.Object{Name: name})
	if o.Deleted {
		o.Version = 0
	}
	if o.Version != expected {
		return 0, platform.ErrConflict
	}
	return s.store(platform.Object{Name: name, Value: append([]byte(nil), value...)}), nil
}

// store writes an object at the next revision and wakes the watches.
func (s *Store) store(o platform.Object) ids.Version {
	s.revision++
	o.Version = s.revision
	s.objects.ReplaceOrInsert(o)
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version
}

func (s *Store) newer(prefix string, after ids.Version) (l platform.Listing, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Listing{}, nil, platform.ErrUnavailable
	}
	l = s.scan(prefix, func(o platform.Object) bool { return o.Version > after })
	return l, s.changed, nil
}

func (s *Store) scan(prefix string, want func(platform.Object) bool) platform.Listing {
	l := platform.Listing{Revision: s.revision, Objects: []platform.Object{}}
	s.objects.AscendGreaterOrEqual(platform.Object{Name: prefix}, func(o platform.Object) bool {
		if !strings.HasPrefix(o.Name, prefix) {
			return false
		}
		if want(o) {
			l.Objects = append(l.Objects, o)
		}
		return true
	})
	return l
}
